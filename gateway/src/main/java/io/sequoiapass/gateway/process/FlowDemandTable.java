package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.Room;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Rates of the requests to one service by flow, from the reports of all daemons. Memory is bounded:
 * further workspaces count for their priority as a whole. Not safe for use by several threads.
 */
final class FlowDemandTable {

  /** Largest number of flows that are counted one by one. */
  static final int MAX_FLOWS = 512;

  /**
   * Time constant of the rates, in milliseconds: several reports of each daemon, and short enough
   * to follow a burst of a few seconds.
   */
  private static final double MEMORY_MS = 1_000;

  /**
   * Time constant of the parts that flows have of their priority, in milliseconds. Small workspaces
   * send a few requests per second; over a shorter time they would look larger than they are by
   * chance, and would be limited.
   */
  private static final double PARTS_MEMORY_MS = 4_000;

  /** Largest number of requests of one flow that a report can state. */
  private static final int MAX_COUNT = 100_000;

  /** Rate below which a flow is forgotten, in requests per second. */
  private static final double MIN_PER_S = 0.01;

  private final Map<Key, Counts> counts = new HashMap<>();

  private record Key(Flow flow, boolean adapterHeld) {}

  private static final class Counts {
    private double asked;
    private double askedLonger;
    private double served;
    private long at;

    private void decay(long now) {
      double kept = Math.exp(-Math.max(0, now - at) / MEMORY_MS);
      asked *= kept;
      askedLonger *= Math.exp(-Math.max(0, now - at) / PARTS_MEMORY_MS);
      served *= kept;
      at = now;
    }
  }

  /**
   * Rates of requests, per second.
   *
   * @param asked by flow
   * @param served of all flows
   */
  record Rates(Map<Flow, Double> asked, double served) {

    /** Returns the rate of all flows. */
    double total() {
      return asked.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }

  /**
   * Adds what a daemon reports.
   *
   * @param demand the requests of one flow
   * @param now the time, in milliseconds
   * @return false if the report is implausible and was ignored
   */
  boolean add(RoomMessage.FlowDemand demand, long now) {
    if (!isCount(demand.asked()) || !isCount(demand.refused()) || !isCount(demand.served())) {
      return false;
    }
    Key key = new Key(demand.flow(), demand.adapterHeld());
    if (counts.size() >= MAX_FLOWS && !counts.containsKey(key)) {
      key = new Key(Flow.of(demand.flow().priority(), Optional.empty()), demand.adapterHeld());
    }
    Counts of = counts.computeIfAbsent(key, any -> new Counts());
    of.decay(now);
    of.asked += demand.asked();
    of.askedLonger += demand.asked();
    of.served += demand.served();
    return true;
  }

  private static boolean isCount(int number) {
    return number >= 0 && number <= MAX_COUNT;
  }

  /**
   * Returns the rates of the requests that need a kind of room.
   *
   * @param room the kind of room
   * @param now the time, in milliseconds
   */
  Rates rates(Room room, long now) {
    double perS = 1_000 / MEMORY_MS;
    double[] asked = new double[Flow.LAST_PRIORITY + 1];
    double[] askedLonger = new double[Flow.LAST_PRIORITY + 1];
    double served = 0;
    Map<Flow, Double> parts = new TreeMap<>();
    for (var entry : counts.entrySet()) {
      if (room.isNeeded(entry.getKey().adapterHeld())) {
        Counts of = entry.getValue();
        of.decay(now);
        int priority = entry.getKey().flow().priority();
        asked[priority] += of.asked * perS;
        askedLonger[priority] += of.askedLonger;
        served += of.served * perS;
        parts.merge(entry.getKey().flow(), of.askedLonger, Double::sum);
      }
    }
    parts.replaceAll((flow, part) -> part * asked[flow.priority()] / askedLonger[flow.priority()]);
    return new Rates(parts, served);
  }

  /** Forgets flows without requests. */
  void prune(long now) {
    counts.values().forEach(of -> of.decay(now));
    counts.values().removeIf(of -> Math.max(of.askedLonger, of.served) < MIN_PER_S);
  }

  boolean isEmpty() {
    return counts.isEmpty();
  }
}
