package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.version.RouteSpec;

/** Says how long a request waits for what; the methods are pure. */
final class Patience {

  /**
   * A request waits for a place for this many times the wanted time at the most: a late answer is
   * worth a third of one in time to callers, and a place becomes free within two seconds nearly
   * always, but not for everybody while a quarter of the engines is down.
   */
  private static final long WAITING_TIMES = 2;

  /** A load from the store and a short prompt's reading take about this long, in milliseconds. */
  private static final long LOAD_SPAN_MS = 350;

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
   * Returns how long a request may wait for a place for its adapter, in milliseconds.
   *
   * @param route its route
   * @param waitedMs the time since it arrived, in milliseconds
   * @param leftMs the time until its deadline, in milliseconds
   */
  static long forPlaceMs(RouteSpec route, long waitedMs, long leftMs) {
    long wantedMs = route.targetMs() * WAITING_TIMES - waitedMs;
    return Math.max(0, Math.min(wantedMs, leftMs / 2));
  }

  /** Returns how long a load may be put off for an answer in time, in milliseconds. */
  static long loadInTimeMs(RouteSpec route, long waitedMs) {
    return Math.max(0, route.targetMs() - LOAD_SPAN_MS - waitedMs);
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
