package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.version.RouteSpec;

/**
 * Timeouts of one request while it waits for a slot, a load or an endpoint. The methods are pure.
 */
final class EndpointTimeouts {

  /**
   * A repeatable request is sent to another endpoint after this multiple of the usual service time,
   * since an endpoint that lost it never answers.
   */
  private static final double SERVICE_TIMEOUT_RATIO = 4;

  /** Shortest timeout of a plain endpoint, in milliseconds. */
  private static final long MIN_SERVICE_TIMEOUT_MS = 250;

  /** Shortest timeout of an engine before its answer begins, in milliseconds. */
  private static final long MIN_ENGINE_TIMEOUT_MS = 1_600;

  /** Longest silence of a sound endpoint in the middle of its work, in milliseconds. */
  private static final long SOUND_SILENCE_MS = 1_500;

  /**
   * Usual pause between two events that may precede a silence, in milliseconds, with the time until
   * the endpoint has caught up after it.
   */
  private static final long USUAL_PAUSE_MS = 600;

  /** A stream counts as stalled after this multiple of the route's target gap. */
  private static final long STALL_GAPS = 3;

  /** Timeout of a call to an endpoint beyond the request's deadline, in milliseconds. */
  static final long CALL_SLACK_MS = 300;

  /**
   * How long a request waits until a further copy of its adapter is loading, in milliseconds; then
   * it is sent to the existing copy.
   */
  static final long COPY_WAIT_MS = 60;

  /** Interval between checks whether a data centre has a coordinator again, in milliseconds. */
  static final long COORDINATOR_CHECK_MS = 100;

  /**
   * Delay before an endpoint that does not hold the adapter yet is tried again, in milliseconds for
   * each attempt so far.
   */
  static final long EARLY_RETRY_MS = 60;

  /** Interval between checks while a request waits for an endpoint, in milliseconds. */
  static final long ENDPOINT_CHECK_MS = 500;

  /**
   * Time after the deadline until the caller gets an error, in milliseconds; the endpoint's own
   * answer, which is more specific, may still arrive.
   */
  static final long DEADLINE_SLACK_MS = 40;

  /** Time in which the body of a rejection has to arrive after its head, in milliseconds. */
  static final long REJECTION_BODY_MS = 250;

  private EndpointTimeouts() {}

  /**
   * Returns how long a request may be queued for an adapter slot, in milliseconds. The limit is the
   * time until the caller abandons the request, not the target latency: a late answer is better
   * than none.
   *
   * @param route the request's route
   * @param waitedMs the time since it arrived, in milliseconds
   * @param leftMs the time until its deadline, in milliseconds
   * @param loadMs the time from the order of a load until the answer begins, in milliseconds
   */
  static long maxQueueMs(RouteSpec route, long waitedMs, long leftMs, long loadMs) {
    long callerWaitMs = Math.min(route.abandonMs() - waitedMs, leftMs);
    return Math.max(0, callerWaitMs - loadMs);
  }

  /**
   * Returns the longest delay of a load that still meets the target latency, in milliseconds.
   *
   * @param route the request's route
   * @param waitedMs the time since it arrived, in milliseconds
   * @param loadMs the time from the order of a load until the answer begins, in milliseconds
   */
  static long maxLoadDelayMs(RouteSpec route, long waitedMs, long loadMs) {
    return Math.max(0, route.targetMs() - loadMs - waitedMs);
  }

  /** Returns the timeout of a plain endpoint, in milliseconds. */
  static long serviceTimeoutMs(double usualMs) {
    return Math.max(MIN_SERVICE_TIMEOUT_MS, (long) (SERVICE_TIMEOUT_RATIO * usualMs));
  }

  /** Returns the timeout of an engine, in milliseconds. */
  static long engineTimeoutMs(RouteSpec route, long expectedMs) {
    return Math.max(MIN_ENGINE_TIMEOUT_MS, 2 * expectedMs + route.targetMs() / 2);
  }

  /**
   * Returns the pause after which a stream counts as stalled, in milliseconds. A stream that has
   * begun can't be kept open at two endpoints, so one that is silent is left only when a sound one
   * would have continued.
   */
  static long stallMs(RouteSpec route) {
    return Math.max(SOUND_SILENCE_MS + USUAL_PAUSE_MS, route.gapTargetMs() * STALL_GAPS);
  }
}
