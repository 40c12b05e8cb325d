package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late event loops run while the daemon awaits something, by timers on each of them.
 *
 * <pre>{@code
 * lateness.start();
 * long lateMs = lateness.lateMs(); // of any loop since the start
 * lateness.stop();
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
final class LoopLateness {

  /** Interval of the timers, in milliseconds. */
  private static final long INTERVAL_MS = 50;

  private final Iterable<? extends ScheduledExecutorService> loops;
  private final MillisClock clock;
  private List<Timer> timers = List.of();

  /** A repeated timer on one loop. */
  private final class Timer {
    private final ScheduledExecutorService loop;
    private long dueAt;
    private long lateMs;

    Timer(ScheduledExecutorService loop) {
      this.loop = loop;
    }

    private void schedule() {
      dueAt = clock.millis() + INTERVAL_MS;
      try {
        loop.schedule(() -> ran(this), INTERVAL_MS, TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException stopped) {
        dueAt = Long.MAX_VALUE;
      }
    }

    /** Returns the sum, since answers pass a loop several times. */
    private long lateMs(long now) {
      return lateMs + Math.max(0, now - dueAt);
    }
  }

  /**
   * Creates it without timers.
   *
   * @param loops the event loops
   * @param clock the monotonic clock
   */
  LoopLateness(Iterable<? extends ScheduledExecutorService> loops, MillisClock clock) {
    this.loops = loops;
    this.clock = clock;
  }

  /** Starts to measure anew. */
  synchronized void start() {
    List<Timer> started = new ArrayList<>();
    loops.forEach(loop -> started.add(new Timer(loop)));
    timers = started;
    timers.forEach(Timer::schedule);
  }

  /** Stops the timers and forgets the result. */
  synchronized void stop() {
    timers = List.of();
  }

  private synchronized void ran(Timer timer) {
    if (timers.contains(timer)) {
      timer.lateMs = timer.lateMs(clock.millis());
      timer.schedule();
    }
  }

  /** Returns for how long the latest of the loops ran late since the start, in milliseconds. */
  synchronized long lateMs() {
    long now = clock.millis();
    return timers.stream().mapToLong(timer -> timer.lateMs(now)).max().orElse(0);
  }
}
