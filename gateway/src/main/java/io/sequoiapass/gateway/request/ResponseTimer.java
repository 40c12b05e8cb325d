package io.sequoiapass.gateway.request;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The timer that checks whether an endpoint has stopped responding. Used under the lock of its
 * request.
 */
final class ResponseTimer {

  private final ScheduledExecutorService loop;
  private Future<?> timer;

  ResponseTimer(ScheduledExecutorService loop) {
    this.loop = loop;
  }

  /**
   * Schedules the next check; an earlier one is cancelled.
   *
   * @param watch decides when the next check is due
   * @param now the time, in milliseconds
   * @param check the check, run without the lock of the request
   */
  void schedule(ResponseWatchdog watch, long now, Consumer<ResponseWatchdog> check) {
    cancel();
    timer = loop.schedule(() -> check.accept(watch), watch.nextCheckMs(now), TimeUnit.MILLISECONDS);
  }

  /** Cancels the next check. */
  void cancel() {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
