package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.version.RouteSpec;

/** Says how long a request waits for what; the methods are pure. */
final class Patience {

  /**
   * A request that may be repeated is sent elsewhere when its answer takes this many times as long
   * as usual: an endpoint that lost it will never answer.
   */
  private static final double PATIENCE_TIMES = 4;

  /** Least patience with a plain endpoint, in milliseconds. */
  private static final long LEAST_PATIENCE_MS = 250;

  /** Least patience with an engine, in milliseconds. */
  private static final long ENGINE_PATIENCE_MS = 1_200;

  private Patience() {}

  /**
   * Returns how long a request may wait for a place for its adapter, in milliseconds: a late answer
   * is worth less to its caller than one in time, and more than none as long as it stays.
   *
   * @param route its route
   * @param waitedMs the time since it arrived, in milliseconds
   * @param leftMs the time until its deadline, in milliseconds
   * @param loadMs the time from the order of a load until the answer begins, in milliseconds
   */
  static long forPlaceMs(RouteSpec route, long waitedMs, long leftMs, long loadMs) {
    long staysMs = Math.min(route.patienceMs() - waitedMs, leftMs);
    return Math.max(0, staysMs - loadMs);
  }

  /**
   * Returns how long a load may be put off for an answer in time, in milliseconds.
   *
   * @param route the request's route
   * @param waitedMs the time since it arrived, in milliseconds
   * @param loadMs the time from the order of a load until the answer begins, in milliseconds
   */
  static long loadInTimeMs(RouteSpec route, long waitedMs, long loadMs) {
    return Math.max(0, route.targetMs() - loadMs - waitedMs);
  }

  /** Returns how long a plain endpoint may say nothing, in milliseconds. */
  static long forServiceMs(double usualMs) {
    return Math.max(LEAST_PATIENCE_MS, (long) (PATIENCE_TIMES * usualMs));
  }

  /** Returns how long an engine may say nothing, in milliseconds. */
  static long forEngineMs(RouteSpec route, long expectedMs) {
    return Math.max(ENGINE_PATIENCE_MS, 2 * expectedMs + route.targetMs() / 2);
  }
}
