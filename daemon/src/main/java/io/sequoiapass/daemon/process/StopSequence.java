package io.sequoiapass.daemon.process;

/**
 * Decides how far a planned stop has come.
 *
 * <pre>{@code
 * StopSequence stop = new StopSequence(settings);
 * stop.begin(now);
 * stop.tick(now, openRequests, ownedEndpoints);
 * if (stop.phase() == StopSequence.Phase.STOPPED) { ... }
 * }</pre>
 *
 * <p>Not safe for use by several threads: one owner drives it.
 */
final class StopSequence {

  /** Tells how far the stop has come. */
  enum Phase {
    /** Serves; no stop was asked for. */
    SERVING(true, true),
    /**
     * Not ready any more, but takes what still comes: the balancer needs a few looks to see that it
     * is leaving, and a refusal until then would cut off a request that did nothing wrong.
     */
    LEAVING(false, true),
    /** Takes nothing new and finishes what is under way. */
    FINISHING(false, false),
    /** Has nothing left to do. */
    STOPPED(false, false);

    private final boolean ready;
    private final boolean accepting;

    Phase(boolean ready, boolean accepting) {
      this.ready = ready;
      this.accepting = accepting;
    }

    /** Returns whether readiness is shown. */
    boolean isReady() {
      return ready;
    }

    /** Returns whether requests of callers are taken. */
    boolean isAccepting() {
      return accepting;
    }
  }

  private final long graceMs;
  private final long limitMs;
  private Phase phase = Phase.SERVING;
  private long begunAt;

  /**
   * Makes a sequence that has not begun.
   *
   * @param graceMs how long requests are still taken after the stop was asked for, in milliseconds
   * @param limitMs how long the whole stop may take, in milliseconds
   */
  StopSequence(long graceMs, long limitMs) {
    if (graceMs < 0 || limitMs < graceMs) {
      throw new IllegalArgumentException("grace and limit: " + graceMs + ", " + limitMs + " ms");
    }
    this.graceMs = graceMs;
    this.limitMs = limitMs;
  }

  /** Asks for the stop; a second time changes nothing. */
  void begin(long nowMs) {
    if (phase == Phase.SERVING) {
      phase = Phase.LEAVING;
      begunAt = nowMs;
    }
  }

  /**
   * Lets time pass.
   *
   * @param nowMs the time
   * @param underWay requests and attempts that have not ended
   * @param owned endpoints that were not handed over yet
   */
  void tick(long nowMs, int underWay, int owned) {
    if (phase == Phase.LEAVING && nowMs - begunAt >= graceMs) {
      phase = Phase.FINISHING;
    }
    boolean idle = underWay == 0 && owned == 0;
    if (phase == Phase.FINISHING && (idle || nowMs - begunAt >= limitMs)) {
      phase = Phase.STOPPED;
    }
  }

  /** Returns how far the stop has come. */
  Phase phase() {
    return phase;
  }
}
