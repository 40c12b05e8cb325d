package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.Room;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

/**
 * Refuses requests for which there is no room, before they wait, as coordinators state it.
 *
 * <pre>{@code
 * admission.check(service, flow, adapterHeld, now).ifPresent(refusal -> ...);
 * }</pre>
 *
 * <p>A request gets the largest share that any connected coordinator with endpoints of its service
 * allows; a coordinator that states nothing allows all. Safe for use by several threads.
 */
final class AdmissionControl implements LinkModule {

  /**
   * Largest age of a statement, in milliseconds. Coordinators repeat it at least every 450 ms, so
   * this allows for a late one.
   */
  static final long MAX_AGE_MS = 1_200;

  /** Longest advice when to retry, in milliseconds. */
  private static final long MAX_RETRY_MS = 10_000;

  private final Coordinators coordinators;
  private final DoubleSupplier random;
  private final Map<DataCentreId, Statement> statements = new ConcurrentHashMap<>();

  /** Knows which coordinators can serve a service. */
  @FunctionalInterface
  interface Coordinators {

    /** Returns the data centres with endpoints of a service and a connected coordinator. */
    Set<DataCentreId> of(ServiceId service, long now);
  }

  private record Statement(Map<ServiceId, List<RoomMessage.Shortage>> shortages, long receivedAt) {

    private List<RoomMessage.Shortage> of(ServiceId service, long now) {
      return now - receivedAt > MAX_AGE_MS ? List.of() : shortages.getOrDefault(service, List.of());
    }
  }

  /**
   * The limit that a coordinator sets for a request.
   *
   * @param dataCentre the data centre of the coordinator
   * @param room what is short
   * @param number identifies the shortage in the log of the coordinator
   * @param share the part of such requests that is admitted
   * @param retryAfterMs when to send the request again, in milliseconds
   */
  record Limit(DataCentreId dataCentre, Room room, long number, double share, long retryAfterMs) {}

  /**
   * Creates a control without statements.
   *
   * @param coordinators the coordinators that can serve a service
   * @param random returns numbers from 0 (inclusive) to 1 (exclusive)
   */
  AdmissionControl(Coordinators coordinators, DoubleSupplier random) {
    this.coordinators = coordinators;
    this.random = random;
  }

  /**
   * Decides on one request.
   *
   * @param service its service
   * @param flow its priority and workspace
   * @param adapterHeld whether an endpoint holds or loads its adapter, or it needs none
   * @param now the time, in milliseconds
   * @return the limit for which it is refused; empty if it is admitted
   */
  Optional<Limit> check(ServiceId service, Flow flow, boolean adapterHeld, long now) {
    if (!isShort(service, now)) {
      return Optional.empty();
    }
    Limit largest = null;
    for (DataCentreId dataCentre : coordinators.of(service, now)) {
      Optional<Limit> limit = limit(dataCentre, service, flow, adapterHeld, now);
      if (limit.isEmpty()) {
        return Optional.empty();
      }
      if (largest == null || limit.get().share() > largest.share()) {
        largest = limit.get();
      }
    }
    return largest == null || random.getAsDouble() < largest.share()
        ? Optional.empty()
        : Optional.of(spread(largest));
  }

  /** Returns the tightest limit of a coordinator; empty if it sets none. */
  private Optional<Limit> limit(
      DataCentreId dataCentre, ServiceId service, Flow flow, boolean adapterHeld, long now) {
    Statement statement = statements.get(dataCentre);
    Limit tightest = null;
    if (statement != null) {
      for (RoomMessage.Shortage shortage : statement.of(service, now)) {
        double share = shortage.room().isNeeded(adapterHeld) ? share(shortage, flow) : 1;
        if (share < (tightest == null ? 1 : tightest.share())) {
          tightest =
              new Limit(
                  dataCentre, shortage.room(), shortage.number(), share, shortage.retryAfterMs());
        }
      }
    }
    return Optional.ofNullable(tightest);
  }

  private static double share(RoomMessage.Shortage shortage, Flow flow) {
    Flow wholePriority = Flow.of(flow.priority(), Optional.empty());
    double share = 1;
    for (RoomMessage.FlowShare one : shortage.shares()) {
      if (one.flow().equals(flow)) {
        return one.share();
      }
      share = one.flow().equals(wholePriority) ? one.share() : share;
    }
    return share;
  }

  /** Adds up to the same time again, so that refused callers do not return in one moment. */
  private Limit spread(Limit limit) {
    long statedMs = Math.max(0, Math.min(MAX_RETRY_MS, limit.retryAfterMs()));
    long retryAfterMs = statedMs + (long) (statedMs * random.getAsDouble());
    return new Limit(limit.dataCentre(), limit.room(), limit.number(), limit.share(), retryAfterMs);
  }

  /** Returns whether any coordinator reports a shortage. */
  boolean isAnyShort(long now) {
    return statements.values().stream()
        .anyMatch(one -> !one.shortages().isEmpty() && now - one.receivedAt() <= MAX_AGE_MS);
  }

  /** Returns whether any coordinator reports a shortage of a service. */
  private boolean isShort(ServiceId service, long now) {
    for (Statement statement : statements.values()) {
      if (!statement.of(service, now).isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of coordinators that report a shortage, by labels of service and room. */
  Map<String, Double> gauges(long now) {
    Map<String, Double> gauges = new TreeMap<>();
    statements
        .values()
        .forEach(
            statement ->
                statement
                    .shortages()
                    .forEach(
                        (service, all) ->
                            all.forEach(
                                one ->
                                    gauges.merge(
                                        "{service=\"%s\",room=\"%s\"}"
                                            .formatted(service, one.room()),
                                        statement.of(service, now).isEmpty() ? 0.0 : 1.0,
                                        Double::sum))));
    return gauges;
  }

  @Override
  public void receive(DataCentreId coordinator, LinkMessage message, long now) {
    if (message instanceof RoomMessage.Shortages shortages) {
      Map<ServiceId, List<RoomMessage.Shortage>> byService = new HashMap<>();
      for (RoomMessage.Shortage shortage : shortages.shortages()) {
        byService.merge(
            shortage.service(),
            List.of(shortage),
            (a, b) -> Stream.concat(a.stream(), b.stream()).toList());
      }
      statements.put(coordinator, new Statement(byService, now));
    }
  }

  @Override
  public void lost(DataCentreId coordinator, long now) {
    statements.remove(coordinator);
  }
}
