package io.sequoiapass.coordination.connection;

/**
 * Detects that this daemon has no path to the endpoints, although others may have one.
 *
 * <p>A failure of one endpoint and the loss of the path look alike from one connection. A failed or
 * silent connection is therefore only a suspicion, which probes of several endpoints over new
 * connections confirm or refute.
 *
 * <pre>{@code
 * path.connectionFailed();
 * int probes = path.probesDue(now);   // probe so many endpoints
 * path.roundStarted(probes, now);
 * EndpointPath.Change change = path.probed(answered);
 * }</pre>
 *
 * <p>Answers on open connections do not prove that new ones can be opened. Not safe for use by
 * several threads.
 */
public final class EndpointPath {

  /** The effect of a probe's result. */
  public enum Change {
    /** The state is as before. */
    NONE,
    /** The path is lost. */
    LOST,
    /** The path is available again. */
    RESTORED
  }

  /**
   * How long sent requests may remain without any byte from any endpoint before the path is
   * suspected, in milliseconds. Reading a long prompt takes about as long.
   */
  private static final long SILENCE_MS = 500;

  /** Interval between two rounds of probes, in milliseconds. */
  private static final long ROUND_MS = 250;

  /** Number of endpoints probed on a suspicion. */
  private static final int FIRST_PROBES = 1;

  /**
   * Number of endpoints probed before the path counts as lost. Three that fail at the same time for
   * reasons of their own are rare, and probes of the next round correct the mistake.
   */
  private static final int CONFIRMING_PROBES = 3;

  /** Number of endpoints probed in each round while the path is lost. */
  private static final int RESTORING_PROBES = 2;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long unansweredSince = NEVER;
  private boolean connectionFailed;
  private boolean confirming;
  private boolean lost;
  private long roundAt = NEVER;
  private int probing;
  private boolean answered;

  /**
   * Records that a request is sent to an endpoint.
   *
   * @param now the time, in milliseconds
   */
  public void sent(long now) {
    if (unansweredSince == NEVER) {
      unansweredSince = now;
    }
  }

  /** Records that something was received from an endpoint. */
  public void received() {
    unansweredSince = NEVER;
  }

  /** Records that a connection to an endpoint could not be opened, or ended without an answer. */
  public void connectionFailed() {
    connectionFailed = true;
  }

  /**
   * Returns how long sent requests have had no byte from any endpoint, in milliseconds.
   *
   * @param now the time, in milliseconds
   */
  public long silentMs(long now) {
    return unansweredSince == NEVER ? 0 : now - unansweredSince;
  }

  /** Returns whether the path is lost. */
  public boolean isLost() {
    return lost;
  }

  /**
   * Returns the number of endpoints to probe now; 0 if no round is due.
   *
   * @param now the time, in milliseconds
   */
  public int probesDue(long now) {
    if (probing > 0 || (!confirming && now - roundAt < ROUND_MS)) {
      return 0;
    }
    if (lost) {
      return RESTORING_PROBES;
    }
    if (confirming) {
      return CONFIRMING_PROBES;
    }
    return connectionFailed || silentMs(now) >= SILENCE_MS ? FIRST_PROBES : 0;
  }

  /**
   * Records that a round of probes is sent.
   *
   * @param probes how many; fewer than are due if there are not so many endpoints
   * @param now the time, in milliseconds
   */
  public void roundStarted(int probes, long now) {
    probing = probes;
    roundAt = now;
    answered = false;
  }

  /**
   * Records the result of one probe of the current round.
   *
   * @param byEndpoint whether the endpoint answered
   */
  public Change probed(boolean byEndpoint) {
    probing--;
    if (byEndpoint) {
      answered = true;
      return proved();
    }
    if (probing > 0 || answered || lost) {
      return Change.NONE;
    }
    if (!confirming) {
      confirming = true;
      return Change.NONE;
    }
    confirming = false;
    lost = true;
    return Change.LOST;
  }

  private Change proved() {
    connectionFailed = false;
    confirming = false;
    unansweredSince = NEVER;
    boolean restored = lost;
    lost = false;
    return restored ? Change.RESTORED : Change.NONE;
  }
}
