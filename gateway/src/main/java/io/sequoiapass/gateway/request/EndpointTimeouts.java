package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.version.RouteSpec;

/**
 * Timeouts of one request while it waits for a slot, a load or an endpoint. The methods are pure.
 */
final class EndpointTimeouts {

  /**
   * A request that may be repeated is sent elsewhere when its answer takes this many times as long
   * as usual: an endpoint that lost it will never answer.
   */
  private static final double SERVICE_TIMEOUT_RATIO = 4;

  /** Shortest timeout of a plain endpoint, in milliseconds. */
  private static final long MIN_SERVICE_TIMEOUT_MS = 250;

  /** Shortest timeout of an engine, in milliseconds. */
  private static final long MIN_ENGINE_TIMEOUT_MS = 1_200;

  private EndpointTimeouts() {}

  /**
   * Returns how long a request may wait for a place for its adapter, in milliseconds: a late answer
   * is worth less to its caller than one in time, and more than none as long as it stays.
   *
   * @param route its route
   * @param waitedMs the time since it arrived, in milliseconds
   * @param leftMs the time until its deadline, in milliseconds
   * @param loadMs the time from the order of a load until the answer begins, in milliseconds
   */
  static long maxQueueMs(RouteSpec route, long waitedMs, long leftMs, long loadMs) {
    long staysMs = Math.min(route.abandonMs() - waitedMs, leftMs);
    return Math.max(0, staysMs - loadMs);
  }

  /**
   * Returns how long a load may be put off for an answer in time, in milliseconds.
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
}
