package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;

/**
 * Runs the parts of loops that must outlive them.
 *
 * <p>An exception in a loop's body ends the loop without notice: a scheduler cancels a periodic
 * task, and a chain of calls stops at the one that was not made. Whoever relies on the loop then
 * works with what was known at that moment, while the process looks healthy. A loop therefore runs
 * each item through this class, which logs the exception, counts it, and lets the next item run.
 *
 * <pre>{@code
 * for (Stored<T> item : list.items()) {
 *   guard.run("endpoints " + item.name(), () -> listener.present(item));
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
final class TaskGuard {

  /** Pause between two lines on errors, in milliseconds; a loop may fail in each of its rounds. */
  private static final long LOG_PAUSE_MS = 1_000;

  private final DecisionLog log;
  private final Runnable counter;
  private final MillisClock clock;
  private long loggedAt = Long.MIN_VALUE / 2;
  private long unlogged;

  /**
   * Creates a guard.
   *
   * @param log the log
   * @param counter counts an error
   * @param clock the monotonic clock
   */
  TaskGuard(DecisionLog log, Runnable counter, MillisClock clock) {
    this.log = log;
    this.counter = counter;
    this.clock = clock;
  }

  /** Returns a guard that counts errors in the metrics. */
  static TaskGuard counting(DecisionLog log, GatewayMetrics metrics, MillisClock clock) {
    return new TaskGuard(log, () -> metrics.count("sequoiapass_internal_errors_total"), clock);
  }

  /**
   * Runs a task.
   *
   * @param where what the task is, for the log
   * @param task the task
   * @return whether it ended without an exception
   */
  boolean run(String where, Runnable task) {
    try {
      task.run();
      return true;
    } catch (RuntimeException e) {
      failed(where, e);
      return false;
    }
  }

  /** Returns a task that runs another one through this guard. */
  Runnable guarded(String where, Runnable task) {
    return () -> run(where, task);
  }

  /**
   * Records an error.
   *
   * @param where what has failed
   * @param cause the exception
   */
  void failed(String where, Throwable cause) {
    counter.run();
    long before;
    synchronized (this) {
      long now = clock.millis();
      if (now - loggedAt < LOG_PAUSE_MS) {
        unlogged++;
        return;
      }
      loggedAt = now;
      before = unlogged;
      unlogged = 0;
    }
    StackTraceElement[] trace = cause.getStackTrace();
    log.event("internal_error")
        .with("where", where)
        .with("cause", cause.toString())
        .with("at", trace.length == 0 ? "" : trace[0].toString())
        .with("unlogged", before)
        .write();
  }
}
