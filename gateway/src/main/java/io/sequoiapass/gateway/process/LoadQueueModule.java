package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Connects the queue for adapter slots to the daemons, and to operators by metrics and events. */
final class LoadQueueModule implements CoordinatorModule {

  /** A queue that has been empty for this long has ended, in milliseconds. */
  private static final long END_MS = 2_000;

  private final LoadQueue queue;
  private final MillisClock clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final Map<LoadOutcome, Long> outcomes = new EnumMap<>(LoadOutcome.class);
  private long number;
  private boolean isActive;
  private long beganAt;
  private long lastWaitedAt;
  private int longest;
  private volatile Waiting waiting = new Waiting(Map.of(), 0);

  /** The loads that wait, by the labels of the metric, and when they were counted. */
  private record Waiting(Map<String, Double> byPriority, long countedAt) {}

  /**
   * Creates a module.
   *
   * @param queue the loads that wait for a slot
   * @param clock the monotonic clock
   * @param log the log
   * @param metrics the counters
   */
  LoadQueueModule(LoadQueue queue, MillisClock clock, DecisionLog log, GatewayMetrics metrics) {
    this.queue = queue;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    queue.setListener(this::ended);
    metrics.gauges("sequoiapass_queued_loads", this::waiting);
  }

  /** Returns nothing while this process does not coordinate. */
  private Map<String, Double> waiting() {
    Waiting last = waiting;
    return clock.millis() - last.countedAt() > END_MS ? Map.of() : last.byPriority();
  }

  private void ended(LoadOutcome outcome, int priority) {
    outcomes.merge(outcome, 1L, Long::sum);
    metrics.count(
        "sequoiapass_slot_requests_total{result=\""
            + outcome.label()
            + "\",priority=\""
            + priority
            + "\"}");
  }

  @Override
  public void activated(long now) {
    queue.clear();
    isActive = false;
  }

  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    if (message instanceof RoomMessage.LoadWithdrawn withdrawn) {
      queue.withdraw(withdrawn.adapter(), from, withdrawn.lastRequest());
    }
  }

  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    Collection<LoadQueue.Entry> loads = queue.waiting();
    Map<String, Double> byPriority =
        loads.stream()
            .map(load -> "{priority=\"" + load.priority() + "\"}")
            .collect(
                Collectors.groupingBy(
                    Function.identity(), TreeMap::new, Collectors.summingDouble(any -> 1)));
    waiting = new Waiting(byPriority, now);
    if (!loads.isEmpty()) {
      if (!isActive) {
        began(loads.size(), now);
      }
      lastWaitedAt = now;
      longest = Math.max(longest, loads.size());
    } else if (isActive && now - lastWaitedAt >= END_MS) {
      isActive = false;
      writeEnd();
    }
  }

  private void began(int size, long now) {
    isActive = true;
    number++;
    beganAt = now;
    longest = 0;
    outcomes.clear();
    log.event("load_queue_began").with("queue", number).with("waiting", size).write();
  }

  private void writeEnd() {
    DecisionLog.Line line =
        log.event("load_queue_ended")
            .with("queue", number)
            .with("lasted_ms", lastWaitedAt - beganAt)
            .with("longest", longest);
    Arrays.stream(LoadOutcome.values())
        .forEach(outcome -> line.with(outcome.label(), outcomes.getOrDefault(outcome, 0L)));
    line.write();
  }
}
