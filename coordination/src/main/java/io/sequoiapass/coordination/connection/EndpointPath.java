package io.sequoiapass.coordination.connection;

import io.sequoiapass.coordination.EndpointId;

/**
 * Detects that this daemon has no path to the endpoints, although others may have one.
 *
 * <p>A failure of one endpoint and the loss of the path look alike from one connection. A failed or
 * silent connection is therefore only a suspicion, which probes of several endpoints over new
 * connections confirm or refute. Probes that are refused confirm it at once. Probes that get no
 * answer do so only after a time, since sound endpoints may all be silent for a second or so. A
 * round in which this daemon was too busy to notice answers shows nothing.
 *
 * <pre>{@code
 * path.connectionFailed();
 * int probes = path.probesDue(now);   // probe so many endpoints
 * path.roundStarted(probes, now);
 * EndpointPath.Change change = path.probed(EndpointPath.Probe.ANSWERED, now);
 * }</pre>
 *
 * <p>Answers on open connections do not prove that new ones can be opened. Not safe for use by
 * several threads.
 */
public final class EndpointPath {

  /** The result of a probe. */
  public enum Probe {
    /** The endpoint has answered. */
    ANSWERED,
    /** Nothing has arrived in time, on a connection that was open or still opening. */
    SILENT,
    /** The connection was refused, or closed. */
    FAILED
  }

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

  /**
   * How long endpoints may be silent to probes before the path counts as lost, in milliseconds from
   * the first round of probes.
   */
  private static final long SOUND_SILENCE_MS = 1_500;

  /** Time after a round without another one that ends a silence, in milliseconds. */
  private static final long MAX_PAUSE_MS = 1_000;

  /** Interval between two rounds of probes, in milliseconds. */
  private static final long ROUND_MS = 250;

  /** Number of endpoints probed on a suspicion. */
  private static final int FIRST_PROBES = 1;

  /**
   * Number of endpoints probed before the path counts as lost. Three that fail at the same time for
   * reasons of their own are rare, and probes of the next round correct the mistake.
   */
  private static final int CONFIRMING_PROBES = 3;

  /** How long bytes show that the connections of their endpoint live on, in milliseconds. */
  private static final long RECENT_MS = 1_000;

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
  private boolean hasSilent;
  private boolean hasUnheard;
  private boolean refusedBefore;
  private long silentSince = NEVER;
  private EndpointId latest;
  private long latestAt = NEVER;
  private long latestOtherAt = NEVER;

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

  /**
   * Records that something was received from an endpoint on an open connection.
   *
   * @param endpoint the endpoint
   * @param now the time, in milliseconds
   */
  public void received(EndpointId endpoint, long now) {
    received();
    if (!endpoint.equals(latest)) {
      latest = endpoint;
      latestOtherAt = latestAt;
    }
    latestAt = now;
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

  /** Returns whether results of the current round are awaited. */
  public boolean isProbing() {
    return probing > 0;
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
    if (now - roundAt > MAX_PAUSE_MS) {
      silentSince = NEVER;
    }
    probing = probes;
    roundAt = now;
    answered = false;
    hasSilent = false;
    hasUnheard = false;
  }

  /**
   * Records the result of one probe of the current round.
   *
   * @param result the result
   * @param now the time, in milliseconds
   */
  public Change probed(Probe result, long now) {
    probing--;
    if (result == Probe.ANSWERED) {
      answered = true;
      return proved();
    }
    hasSilent |= result == Probe.SILENT;
    return roundContinues() ? Change.NONE : roundEnded(now);
  }

  /**
   * Records that one probe of the current round had no answer in time, but that this daemon was too
   * busy to notice one.
   *
   * @param now the time, in milliseconds
   */
  public void unheard(long now) {
    probing--;
    hasUnheard = true;
    if (!roundContinues()) {
      skipRound(now);
    }
  }

  private boolean roundContinues() {
    return probing > 0 || answered || lost;
  }

  private Change roundEnded(long now) {
    if (hasUnheard) {
      skipRound(now);
      return Change.NONE;
    }
    if (!confirming) {
      confirming = true;
      return Change.NONE;
    }
    if (!hasSilent && !refusedBefore && isReceivedFromSeveral(now)) {
      refusedBefore = true;
      return Change.NONE;
    }
    confirming = false;
    return mayBeSilent(now) ? Change.NONE : lost();
  }

  /** Excludes the round from the duration of a silence. */
  private void skipRound(long now) {
    if (silentSince != NEVER) {
      silentSince += now - roundAt;
    }
  }

  /**
   * Returns whether connections to several endpoints live on, so that three refusals are too few.
   */
  private boolean isReceivedFromSeveral(long now) {
    return now - latestOtherAt < RECENT_MS;
  }

  /** Returns whether the round shows no more than a silence which sound endpoints may keep. */
  private boolean mayBeSilent(long now) {
    if (!hasSilent) {
      return false;
    }
    if (silentSince == NEVER) {
      silentSince = roundAt;
    }
    return now - silentSince < SOUND_SILENCE_MS;
  }

  private Change lost() {
    lost = true;
    refusedBefore = false;
    silentSince = NEVER;
    return Change.LOST;
  }

  private Change proved() {
    connectionFailed = false;
    confirming = false;
    refusedBefore = false;
    unansweredSince = NEVER;
    silentSince = NEVER;
    boolean restored = lost;
    lost = false;
    return restored ? Change.RESTORED : Change.NONE;
  }
}
