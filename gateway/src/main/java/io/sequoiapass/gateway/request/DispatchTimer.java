package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.MillisClock;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The timer after which a waiting request is dispatched again. After a pause of the process it
 * waits a little longer, so that the ends of callers' connections are read before.
 *
 * <p>Safe for use by several threads.
 */
final class DispatchTimer {

  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private Future<?> timer;

  DispatchTimer(ScheduledExecutorService loop, MillisClock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Schedules the next dispatch; an earlier one is cancelled.
   *
   * @param ms the time until then, in milliseconds
   * @param dispatch dispatches the request
   */
  synchronized void schedule(long ms, Runnable dispatch) {
    cancel();
    long dueAt = clock.millis() + ms;
    timer = loop.schedule(() -> fire(dueAt, dispatch), ms, TimeUnit.MILLISECONDS);
  }

  private void fire(long dueAt, Runnable dispatch) {
    if (ResumeDelay.isAfterPause(dueAt, clock.millis())) {
      schedule(ResumeDelay.READ_DELAY_MS, dispatch);
    } else {
      dispatch.run();
    }
  }

  /** Cancels the next dispatch. */
  synchronized void cancel() {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
