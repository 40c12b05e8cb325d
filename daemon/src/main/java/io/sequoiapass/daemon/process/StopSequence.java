package io.sequoiapass.daemon.process;

/**
 * State machine of a planned stop.
 *
 * <pre>{@code
 * StopSequence stop = new StopSequence(settings);
 * stop.begin(now);
 * stop.tick(now, openRequests, ownedEndpoints);
 * if (stop.phase() == StopSequence.Phase.STOPPED) { ... }
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
final class StopSequence {

  /** Phase of the stop. */
  enum Phase {
    /** Serves; no stop was requested. */
    SERVING(true, true),
    /**
     * Not ready, but still accepts requests: the load balancer needs several probes to take the
     * daemon out of rotation, and a refusal before that would fail a request needlessly.
     */
    LEAVING(false, true),
    /** Refuses new requests and finishes those in flight. */
    FINISHING(false, false),
    /** All work has ended or the limit has passed. */
    STOPPED(false, false);

    private final boolean ready;
    private final boolean accepting;

    Phase(boolean ready, boolean accepting) {
      this.ready = ready;
      this.accepting = accepting;
    }

    /** Returns whether the readiness probe succeeds. */
    boolean isReady() {
      return ready;
    }

    /** Returns whether new requests of callers are accepted. */
    boolean isAccepting() {
      return accepting;
    }
  }

  private final long graceMs;
  private final long limitMs;
  private Phase phase = Phase.SERVING;
  private long begunAt;

  /**
   * Creates a sequence that has not begun.
   *
   * @param graceMs how long requests are still accepted after the stop was requested, in
   *     milliseconds
   * @param limitMs the longest duration of the stop, grace included, in milliseconds
   */
  StopSequence(long graceMs, long limitMs) {
    if (graceMs < 0 || limitMs < graceMs) {
      throw new IllegalArgumentException("grace and limit: " + graceMs + ", " + limitMs + " ms");
    }
    this.graceMs = graceMs;
    this.limitMs = limitMs;
  }

  /** Requests the stop; further calls have no effect. */
  void begin(long nowMs) {
    if (phase == Phase.SERVING) {
      phase = Phase.LEAVING;
      begunAt = nowMs;
    }
  }

  /**
   * Advances the phase.
   *
   * @param nowMs the current time, in milliseconds
   * @param inFlight number of requests and attempts that have not ended
   * @param owned number of endpoints not yet handed over
   */
  void tick(long nowMs, int inFlight, int owned) {
    if (phase == Phase.LEAVING && nowMs - begunAt >= graceMs) {
      phase = Phase.FINISHING;
    }
    boolean idle = inFlight == 0 && owned == 0;
    if (phase == Phase.FINISHING && (idle || nowMs - begunAt >= limitMs)) {
      phase = Phase.STOPPED;
    }
  }

  /** Returns the current phase. */
  Phase phase() {
    return phase;
  }
}
