package io.sequoiapass.gateway.request;

import java.util.Optional;
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
  private Optional<ResponseWatchdog> scheduled = Optional.empty();

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
    scheduled = Optional.of(watch);
    timer = loop.schedule(() -> check.accept(watch), watch.nextCheckMs(now), TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether a check that runs is still due; it may have been cancelled while it waited for
   * the lock.
   *
   * @param watch the watch of the check
   */
  boolean isScheduled(ResponseWatchdog watch) {
    return scheduled.filter(one -> one == watch).isPresent();
  }

  /** Cancels the next check. */
  void cancel() {
    scheduled = Optional.empty();
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
