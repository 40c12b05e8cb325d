package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Joins the speeds that daemons report, and sends them to all daemons of a coordinator. The daemons
 * of a small fleet receive none: each of them measures the endpoints often enough by itself.
 */
final class SpeedModule implements CoordinatorModule {

  /** Changes a second to each daemon of the same data centre, which uses the endpoints most. */
  private static final double NEAR_CHANGES_PER_S = 12;

  /** Changes a second to each other daemon, which has links to several coordinators. */
  private static final double FAR_CHANGES_PER_S = 2;

  /** From this response time relative to the others an endpoint counts as slow. */
  private static final double SLOW = 1.5;

  /** Up to this response time an endpoint that was slow counts as usual again. */
  private static final double USUAL = 1.25;

  /** Largest number of endpoints in the metric. */
  private static final int SLOWEST = 10;

  /** Interval of clean-up, log events and metric, in milliseconds. */
  private static final long REVIEW_MS = 2_000;

  private static final double PERCENT = 100;

  private final DataCentreId here;
  private final Function<EndpointId, Optional<EndpointEntry>> entries;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final SpeedTable table = new SpeedTable();
  private final SpeedUpdates near = new SpeedUpdates(true, NEAR_CHANGES_PER_S);
  private final SpeedUpdates far = new SpeedUpdates(false, FAR_CHANGES_PER_S);
  private final Set<EndpointId> slow = new HashSet<>();
  private volatile long reviewedAt;
  private volatile Map<String, Double> slowest = Map.of();

  /**
   * Creates a module without speeds.
   *
   * @param here the coordinator's data centre
   * @param entries returns the entry of an endpoint
   * @param clock the monotonic clock
   * @param log the log
   * @param metrics the counters
   */
  SpeedModule(
      DataCentreId here,
      Function<EndpointId, Optional<EndpointEntry>> entries,
      MillisClock clock,
      DecisionLog log,
      GatewayMetrics metrics) {
    this.here = here;
    this.entries = entries;
    this.log = log;
    this.metrics = metrics;
    metrics.gauges(
        "sequoiapass_endpoint_slowdown",
        () -> clock.millis() - reviewedAt > 2 * REVIEW_MS ? Map.of() : slowest);
  }

  @Override
  public void activated(long now) {
    table.clear();
    near.clear();
    far.clear();
    slow.clear();
    slowest = Map.of();
    reviewedAt = now;
  }

  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    if (message instanceof RoomMessage.SpeedReport report && from.daemon != null) {
      report.endpoints().forEach(samples -> add(samples, now));
    }
  }

  private void add(RoomMessage.SpeedSamples samples, long now) {
    Optional<EndpointEntry> entry =
        entries.apply(samples.endpoint()).filter(known -> known.dataCentre().equals(here));
    if (entry.isEmpty()) {
      dropped("gone");
    } else if (entry.get().startTimeMs() != samples.startTimeMs()) {
      dropped("restarted");
    } else if (!table.add(entry.get().service(), samples, now)) {
      dropped("invalid");
    }
  }

  private void dropped(String reason) {
    metrics.count("sequoiapass_speed_reports_dropped_total{reason=\"" + reason + "\"}");
  }

  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    if (now - reviewedAt >= REVIEW_MS) {
      reviewedAt = now;
      review(now);
    }
    if (!isSent(links.size())) {
      return;
    }
    List<RoomMessage.EndpointSpeed> speeds = table.speeds(now);
    Optional<byte[]> nearFrame = near.due(speeds, now).map(LinkFrames::encode);
    Optional<byte[]> farFrame = far.due(speeds, now).map(LinkFrames::encode);
    byte[] nearAll = null;
    byte[] farAll = null;
    for (Map.Entry<FrameChannel, LinkedDaemon> link : links.entrySet()) {
      LinkedDaemon linked = link.getValue();
      boolean isNear = here.equals(linked.dataCentre);
      if (linked.hasSpeeds) {
        (isNear ? nearFrame : farFrame).ifPresent(frame -> link.getKey().queue(frame));
      } else if (linked.hasPlacements) {
        linked.hasSpeeds = true;
        if (isNear) {
          nearAll = nearAll == null ? LinkFrames.encode(near.snapshot(speeds)) : nearAll;
        } else {
          farAll = farAll == null ? LinkFrames.encode(far.snapshot(speeds)) : farAll;
        }
        link.getKey().queue(isNear ? nearAll : farAll);
      }
    }
  }

  /** Returns whether speeds are sent to a number of daemons. */
  static boolean isSent(int daemons) {
    return !BroadcastInterval.broadcastsImmediately(daemons);
  }

  private void review(long now) {
    table.retain(
        (endpoint, startTimeMs) ->
            entries.apply(endpoint).filter(e -> e.startTimeMs() == startTimeMs).isPresent());
    List<RoomMessage.EndpointSpeed> speeds = table.speeds(now);
    near.retain(speeds);
    far.retain(speeds);
    slow.retainAll(speeds.stream().map(RoomMessage.EndpointSpeed::endpoint).toList());
    speeds.forEach(this::logChange);
    Map<String, Double> labelled = new LinkedHashMap<>();
    speeds.stream()
        .sorted(Comparator.comparingDouble(RoomMessage.EndpointSpeed::lasting).reversed())
        .limit(SLOWEST)
        .forEach(
            one -> labelled.put("{endpoint=\"" + one.endpoint().value() + "\"}", one.lasting()));
    slowest = labelled;
  }

  private void logChange(RoomMessage.EndpointSpeed speed) {
    boolean wasSlow = slow.contains(speed.endpoint());
    if (!wasSlow && speed.lasting() >= SLOW) {
      slow.add(speed.endpoint());
      write("endpoint_slow", speed);
    } else if (wasSlow && speed.lasting() <= USUAL) {
      slow.remove(speed.endpoint());
      write("endpoint_speed_usual", speed);
    }
  }

  private void write(String event, RoomMessage.EndpointSpeed speed) {
    log.event(event)
        .with("endpoint", speed.endpoint())
        .with("slowdown", Math.round(speed.lasting() * PERCENT) / PERCENT)
        .write();
  }
}
