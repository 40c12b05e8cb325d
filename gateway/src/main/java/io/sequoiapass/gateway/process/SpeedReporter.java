package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Sums up how long endpoints took for this daemon's requests, until their coordinators get the sums
 * with a report.
 *
 * <p>Answers the load of many daemons before few endpoints: each sends an endpoint a request in ten
 * to twenty seconds, so only the samples of all of them show its speed. Safe for use by several
 * threads.
 */
final class SpeedReporter {

  /**
   * Endpoints in one report. Bounds a report to about 200 bytes; the sums of other endpoints are
   * sent with the next one.
   */
  static final int MAX_ENDPOINTS = 6;

  /** Samples wait no longer than this for a report, in milliseconds; later they are outdated. */
  private static final long MAX_WAIT_MS = 5_000;

  /** Longest time of one request, in milliseconds; more is an error of measurement. */
  private static final double MAX_SAMPLE_MS = 600_000;

  /** Bounds of one sample relative to what is expected; values beyond have other causes. */
  private static final double MIN_RATIO = 0.25;

  private static final double MAX_RATIO = 8;

  /** The sums of each endpoint, the one that waits longest first. */
  private final Map<EndpointId, Sums> waiting = new LinkedHashMap<>();

  private static final class Sums {
    private final DataCentreId dataCentre;
    private final long startTimeMs;
    private final long since;
    private int count;
    private double actualMs;
    private double expectedMs;

    Sums(EndpointEntry entry, long since) {
      this.dataCentre = entry.dataCentre();
      this.startTimeMs = entry.startTimeMs();
      this.since = since;
    }

    boolean isOutdated(long now) {
      return now - since > MAX_WAIT_MS;
    }

    RoomMessage.SpeedSamples samples(EndpointId endpoint) {
      return new RoomMessage.SpeedSamples(
          endpoint, startTimeMs, count, Math.round(actualMs), Math.round(expectedMs));
    }
  }

  /**
   * Adds one sample.
   *
   * @param entry the endpoint
   * @param actualMs the time that it took, in milliseconds
   * @param expectedMs the time expected of an endpoint of average speed, in milliseconds
   * @param now the time, in milliseconds
   * @return false if the times are impossible, which changes nothing
   */
  synchronized boolean add(EndpointEntry entry, double actualMs, double expectedMs, long now) {
    boolean isPossible =
        actualMs >= 0
            && actualMs <= MAX_SAMPLE_MS
            && expectedMs >= 1
            && expectedMs <= MAX_SAMPLE_MS;
    if (!isPossible) {
      return false;
    }
    Sums sums = waiting.get(entry.endpoint());
    if (sums == null || sums.startTimeMs != entry.startTimeMs() || sums.isOutdated(now)) {
      waiting.remove(entry.endpoint());
      sums = new Sums(entry, now);
      waiting.put(entry.endpoint(), sums);
    }
    sums.count++;
    sums.actualMs += Math.max(MIN_RATIO * expectedMs, Math.min(MAX_RATIO * expectedMs, actualMs));
    sums.expectedMs += expectedMs;
    return true;
  }

  /** Returns and removes sums for the coordinator of a data centre; empty if there are none. */
  synchronized List<RoomMessage.SpeedSamples> take(DataCentreId coordinator, long now) {
    List<RoomMessage.SpeedSamples> taken = new ArrayList<>();
    Iterator<Map.Entry<EndpointId, Sums>> all = waiting.entrySet().iterator();
    while (all.hasNext() && taken.size() < MAX_ENDPOINTS) {
      Map.Entry<EndpointId, Sums> next = all.next();
      Sums sums = next.getValue();
      if (sums.isOutdated(now)) {
        all.remove();
      } else if (sums.dataCentre.equals(coordinator)) {
        taken.add(sums.samples(next.getKey()));
        all.remove();
      }
    }
    return taken;
  }
}
