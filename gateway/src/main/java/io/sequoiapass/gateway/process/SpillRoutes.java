package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

/**
 * The shares of demand that coordinators state, and the routes of requests by them.
 *
 * <p>Requests with the same adapter have the same route at all daemons, so that the adapter is
 * loaded in one data centre. Safe for use by several threads.
 */
final class SpillRoutes implements LinkModule {

  /**
   * Largest age of shares, in milliseconds. Coordinators repeat them at least every 450 ms, so this
   * allows for a late one.
   */
  static final long MAX_SHARE_AGE_MS = 1_200;

  /** Largest age of a load, in milliseconds; coordinators state it at least every 450 ms. */
  static final long MAX_LOAD_AGE_MS = 1_000;

  private static final int MAX_SLOTS = 1_000_000;

  /** Tolerance for shares that were rounded. */
  private static final double MAX_TOTAL = 1.001;

  private final DataCentreId here;
  private final GatewayMetrics metrics;
  private final Map<DataCentreId, Statement> statements = new ConcurrentHashMap<>();

  private record Statement(
      Map<ServiceId, RoomMessage.SlotUse> loads,
      Map<ServiceId, Map<DataCentreId, Double>> shares,
      long receivedAt) {}

  /**
   * Creates routes without shares.
   *
   * @param here this daemon's data centre
   * @param clock the monotonic clock
   * @param metrics the counters
   */
  SpillRoutes(DataCentreId here, MillisClock clock, GatewayMetrics metrics) {
    this.here = here;
    this.metrics = metrics;
    metrics.gauges("sequoiapass_spill_share", () -> gauges(clock.millis()));
  }

  /** Returns the routes of requests to one service. */
  SpillSource of(ServiceId service) {
    return (adapter, coordinated, now) -> route(service, adapter, coordinated, now);
  }

  private Optional<SpillRoute> route(
      ServiceId service, Optional<AdapterName> adapter, List<DataCentreId> coordinated, long now) {
    if (statements.values().stream().allMatch(one -> one.shares().isEmpty())) {
      return Optional.empty();
    }
    Optional<DataCentreId> natural =
        adapter.isPresent()
            ? RendezvousHash.first(adapter.get().toString(), coordinated)
            : Optional.of(here);
    return natural.flatMap(
        from -> {
          Map<DataCentreId, Double> shares = new HashMap<>(shares(from, service, now));
          double own = shares.getOrDefault(from, 0.0);
          shares.keySet().retainAll(coordinated);
          return total(shares) <= 0
              ? Optional.empty()
              : Optional.of(new SpillRoute(from, place(from, shares, own, adapter)));
        });
  }

  /** Draws a place; the share of a neighbour without a coordinator goes to the others. */
  private static DataCentreId place(
      DataCentreId natural,
      Map<DataCentreId, Double> shares,
      double own,
      Optional<AdapterName> adapter) {
    double sent = total(shares) - own;
    Map<DataCentreId, Double> weights = new HashMap<>();
    shares.forEach((to, share) -> weights.put(to, sent > 0 ? share * (1 - own) / sent : 0));
    weights.put(natural, sent > 0 ? own : 1);
    String key =
        adapter
            .map(Object::toString)
            .orElseGet(() -> Long.toString(ThreadLocalRandom.current().nextLong()));
    return RendezvousHash.rank("spill:" + key, weights.keySet(), weights::get).get(0);
  }

  private static double total(Map<DataCentreId, Double> shares) {
    return shares.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  private Map<DataCentreId, Double> shares(DataCentreId from, ServiceId service, long now) {
    Statement statement = statements.get(from);
    return statement == null || now - statement.receivedAt() > MAX_SHARE_AGE_MS
        ? Map.of()
        : statement.shares().getOrDefault(service, Map.of());
  }

  /** Returns the load of a service in the data centres whose coordinator states it. */
  Map<DataCentreId, SpillPlan.Load> loads(ServiceId service, long now) {
    Map<DataCentreId, SpillPlan.Load> loads = new HashMap<>();
    statements.forEach(
        (dataCentre, statement) -> {
          RoomMessage.SlotUse use = statement.loads().get(service);
          if (use != null && now - statement.receivedAt() <= MAX_LOAD_AGE_MS) {
            Map<DataCentreId, Double> shares = statement.shares().getOrDefault(service, Map.of());
            boolean spills = SpillPlan.sends(shares, dataCentre);
            loads.put(dataCentre, new SpillPlan.Load(use.slots(), use.used(), spills));
          }
        });
    return loads;
  }

  /** Returns the data centres whose coordinator states any load. */
  Set<DataCentreId> stating(long now) {
    return statements.entrySet().stream()
        .filter(one -> now - one.getValue().receivedAt() <= MAX_LOAD_AGE_MS)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Returns the shares in force, by labels of service and both data centres. */
  private Map<String, Double> gauges(long now) {
    Map<String, Double> gauges = new TreeMap<>();
    statements.forEach(
        (from, statement) ->
            statement
                .shares()
                .keySet()
                .forEach(
                    service ->
                        shares(from, service, now)
                            .forEach(
                                (to, share) ->
                                    gauges.put(
                                        "{service=\"%s\",from=\"%s\",to=\"%s\"}"
                                            .formatted(service, from, to),
                                        share))));
    return gauges;
  }

  @Override
  public void receive(DataCentreId coordinator, LinkMessage message, long now) {
    if (!(message instanceof RoomMessage.SpillShares stated)) {
      return;
    }
    Map<ServiceId, RoomMessage.SlotUse> loads = new HashMap<>();
    stated.loads().forEach(load -> loads.put(load.service(), load));
    Map<ServiceId, Map<DataCentreId, Double>> shares = new HashMap<>();
    for (RoomMessage.SpillShare one : stated.shares()) {
      shares.computeIfAbsent(one.service(), any -> new HashMap<>()).put(one.to(), one.share());
    }
    boolean isValid =
        loads.values().stream().allMatch(SpillRoutes::isPlausible)
            && shares.values().stream().allMatch(to -> total(to) <= MAX_TOTAL);
    if (!isValid) {
      metrics.count("sequoiapass_spill_statements_dropped_total");
    } else if (loads.isEmpty() && shares.isEmpty()) {
      statements.remove(coordinator);
    } else {
      statements.put(coordinator, new Statement(loads, shares, now));
    }
  }

  private static boolean isPlausible(RoomMessage.SlotUse use) {
    return isCount(use.slots()) && use.used().values().stream().allMatch(SpillRoutes::isCount);
  }

  private static boolean isCount(int number) {
    return number >= 0 && number <= MAX_SLOTS;
  }

  @Override
  public void lost(DataCentreId coordinator, long now) {
    statements.remove(coordinator);
  }
}
