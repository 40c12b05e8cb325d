package io.sequoiapass.coordination.process;

/**
 * State of a daemon as one peer derives it from heartbeats; never a proof that the daemon has
 * stopped.
 */
public enum MemberState {
  /** Heartbeats arrive on time. */
  ALIVE(true, true),
  /**
   * Heartbeats arrive on time; the daemon is about to stop, finishes its work and accepts no new
   * endpoints.
   */
  DRAINING(true, false),
  /** No heartbeat for longer than the suspicion timeout. */
  SUSPECT(false, false),
  /** No heartbeat for so long that its work is sent to other daemons. */
  DEAD(false, false);

  private final boolean reachable;
  private final boolean candidate;

  MemberState(boolean reachable, boolean candidate) {
    this.reachable = reachable;
    this.candidate = candidate;
  }

  /** Returns whether requests for its endpoints may be forwarded to it without a precaution. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns whether it may receive endpoints, watches or proposals. */
  public boolean isCandidate() {
    return candidate;
  }
}
