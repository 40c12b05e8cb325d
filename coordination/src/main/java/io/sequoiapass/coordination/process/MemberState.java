package io.sequoiapass.coordination.process;

/** What a daemon's heartbeats say about it, as seen by one peer; never a proof that it stopped. */
public enum MemberState {
  /** Heard from lately. */
  ALIVE(true, true),
  /** Heard from lately, and about to stop: finishes its work and takes no new endpoints. */
  DRAINING(true, false),
  /** Silent for longer than heartbeats usually take. */
  SUSPECT(false, false),
  /** Silent for so long that work goes elsewhere. */
  DEAD(false, false);

  private final boolean reachable;
  private final boolean candidate;

  MemberState(boolean reachable, boolean candidate) {
    this.reachable = reachable;
    this.candidate = candidate;
  }

  /** Returns whether requests for its endpoints may be forwarded to it without a second thought. */
  public boolean isReachable() {
    return reachable;
  }

  /** Returns whether it may be given endpoints, watches or proposals. */
  public boolean isCandidate() {
    return candidate;
  }
}
