package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which shares of the demand for one service in one data centre go to its neighbours.
 *
 * <pre>{@code
 * Map<DataCentreId, Double> shares = plan.update(loads, now);
 * }</pre>
 *
 * <p>Answers the load of data centres whose demand swings by half within 15 s while they lead and
 * lag each other, or one of which has lost endpoints: one is short of slots while another has some
 * to spare, and all that is known is up to half a second old. Demand counts for the data centre
 * that it belongs to, wherever it is served, so that a share does not change the figures from which
 * it is computed. Not safe for use by several threads.
 */
final class SpillPlan {

  /** Part of its slots that the demand for a data centre must exceed before any of it is sent. */
  static final double BEGIN = 0.9;

  /** Part of the slots that demand is planned for; the rest is for what a prediction misses. */
  static final double USABLE = 0.85;

  /**
   * Largest part of the slots that counts as used, waiting requests included; more is a backlog of
   * the past.
   */
  static final double MOST_USED = 1.1;

  /** Largest change of all shares in a second, relative to the demand. */
  static final double STEP_PER_S = 0.5;

  /** Longest time between two updates that the step allows for, in milliseconds. */
  private static final long MAX_ELAPSED_MS = 500;

  /**
   * A share follows only what exceeds this part of the demand's square root, which is about what
   * the smoothed number of slots in use changes by chance.
   */
  private static final double CHANCE = 0.25;

  /** A smaller share is not worth the loads of adapters. */
  private static final double MIN_SHARE = 0.01;

  /**
   * How long demand counts that a lost data centre served, in milliseconds; it takes about this
   * long until its requests have begun elsewhere.
   */
  private static final long RETENTION_MS = 1_000;

  private final DataCentreId here;
  private final Map<DataCentreId, DemandTrend> demand = new HashMap<>();
  private final Map<DataCentreId, Recent> recent = new HashMap<>();
  private Map<DataCentreId, Double> shares = Map.of();
  private long updatedAt;

  /**
   * The use of a data centre.
   *
   * @param slots number of slots
   * @param used number of slots that the demand for each data centre takes, waiting requests
   *     included
   * @param spills whether it sends any of its own demand elsewhere
   */
  record Load(int slots, Map<DataCentreId, Integer> used, boolean spills) {}

  private record Recent(Load load, long seenAt) {}

  /**
   * Creates a plan without shares.
   *
   * @param here the data centre whose demand is shared out
   */
  SpillPlan(DataCentreId here) {
    this.here = here;
  }

  /**
   * Returns the share of the demand that goes to each data centre, this one included; empty while
   * no data centre sends anything elsewhere.
   *
   * @param loads the load of each data centre that is known and not too old, this one included
   * @param now the time, in milliseconds
   */
  Map<DataCentreId, Double> update(Map<DataCentreId, Load> loads, long now) {
    long elapsedMs = demand.isEmpty() ? 0 : Math.max(0, Math.min(MAX_ELAPSED_MS, now - updatedAt));
    updatedAt = now;
    followDemand(loads, now);
    boolean serves = loads.containsKey(here) && loads.get(here).slots() > 0;
    shares = serves ? next(loads, STEP_PER_S * elapsedMs / 1_000) : Map.of();
    boolean anySpills = loads.values().stream().anyMatch(Load::spills);
    if (!serves || (shares.isEmpty() && !anySpills)) {
      return Map.of();
    }
    Map<DataCentreId, Double> all = new TreeMap<>(shares);
    double sent = shares.values().stream().mapToDouble(Double::doubleValue).sum();
    all.put(here, Math.max(0, 1 - sent));
    return all;
  }

  /** Returns whether shares send any demand of a data centre elsewhere. */
  static boolean sends(Map<DataCentreId, Double> shares, DataCentreId from) {
    return shares.size() > (shares.containsKey(from) ? 1 : 0);
  }

  private void followDemand(Map<DataCentreId, Load> loads, long now) {
    loads.forEach((dataCentre, load) -> recent.put(dataCentre, new Recent(load, now)));
    recent.values().removeIf(one -> now - one.seenAt() > RETENTION_MS);
    Map<DataCentreId, Double> totals = new HashMap<>();
    recent.forEach(
        (servedIn, one) ->
            one.load()
                .used()
                .forEach(
                    (dataCentre, used) -> {
                      boolean serves =
                          loads.containsKey(dataCentre) && loads.get(dataCentre).slots() > 0;
                      totals.merge(serves ? dataCentre : servedIn, (double) used, Double::sum);
                    }));
    demand.keySet().retainAll(loads.keySet());
    for (DataCentreId dataCentre : loads.keySet()) {
      demand
          .computeIfAbsent(dataCentre, any -> new DemandTrend())
          .update(totals.getOrDefault(dataCentre, 0.0), now);
    }
  }

  private Map<DataCentreId, Double> next(Map<DataCentreId, Load> loads, double step) {
    Map<DataCentreId, Double> rooms = new TreeMap<>();
    double excess = 0;
    for (Map.Entry<DataCentreId, Load> one : loads.entrySet()) {
      excess += excess(one.getKey(), one.getValue());
      double room = room(one.getKey(), one.getValue());
      if (room > 0) {
        rooms.put(one.getKey(), room);
      }
    }
    double totalRoom = rooms.values().stream().mapToDouble(Double::doubleValue).sum();
    double ownExcess = excess(here, loads.get(here));
    double ownDemand = Math.max(1, predicted(here));
    // What a neighbour can't take any more goes to the others without delay.
    double freed =
        shares.entrySet().stream()
            .filter(share -> !rooms.containsKey(share.getKey()))
            .mapToDouble(Map.Entry::getValue)
            .sum();
    Map<DataCentreId, Double> next = new TreeMap<>();
    for (Map.Entry<DataCentreId, Double> room : rooms.entrySet()) {
      double part = room.getValue() / totalRoom;
      double target = ownExcess * room.getValue() / Math.max(totalRoom, excess) / ownDemand;
      double before = shares.getOrDefault(room.getKey(), 0.0);
      double most = Math.min(1, room.getValue() / ownDemand);
      double wanted = ignoreChance(target, before, CHANCE / Math.sqrt(ownDemand) * part);
      double share = Math.max(before - step, Math.min(before + (step + freed) * part, wanted));
      if (share >= MIN_SHARE || (share > 0 && target >= MIN_SHARE)) {
        next.put(room.getKey(), Math.min(most, share));
      }
    }
    return next;
  }

  private static double ignoreChance(double target, double before, double band) {
    return target == 0 ? 0 : Math.max(target - band, Math.min(target + band, before));
  }

  /** Returns the number of slots that a data centre lacks. */
  private double excess(DataCentreId dataCentre, Load load) {
    boolean spills = dataCentre.equals(here) ? !shares.isEmpty() : load.spills();
    double predicted = predicted(dataCentre);
    boolean needsRoom = predicted > load.slots() * (spills ? USABLE : BEGIN);
    return needsRoom && load.slots() > 0 ? predicted - load.slots() * USABLE : 0;
  }

  /** Returns the number of slots that a data centre has to spare. */
  private double room(DataCentreId dataCentre, Load load) {
    return load.spills() || dataCentre.equals(here)
        ? 0
        : load.slots() * USABLE - predicted(dataCentre);
  }

  /** Returns the demand for a data centre in the next second, in slots. */
  double predicted(DataCentreId dataCentre) {
    DemandTrend trend = demand.get(dataCentre);
    return trend == null ? 0 : trend.predicted();
  }
}
