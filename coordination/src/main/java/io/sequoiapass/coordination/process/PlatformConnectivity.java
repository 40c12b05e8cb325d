package io.sequoiapass.coordination.process;

/**
 * Tracks whether this daemon reaches the platform, and since when without interruption.
 *
 * <pre>{@code
 * PlatformConnectivity contact = PlatformConnectivity.create(LeaseSettings.DEFAULT, now);
 * contact.succeeded(now);
 * boolean out = contact.isOut(now + 9_000);
 * }</pre>
 *
 * <p>Every call to the platform reports its result here, so lease renewals are sufficient to keep
 * the state current. Not thread-safe; confined to one shard.
 */
public final class PlatformConnectivity {

  private final long outAfterMillis;
  private long reachableSince;
  private long lastSuccess;
  private boolean answeredOnce;

  private PlatformConnectivity(long outAfterMillis, long now) {
    this.outAfterMillis = outAfterMillis;
    this.lastSuccess = now;
  }

  /**
   * Returns an instance that counts the platform as out until the first answer.
   *
   * @param settings the times
   * @param now the time
   */
  public static PlatformConnectivity create(LeaseSettings settings, long now) {
    return new PlatformConnectivity(settings.outAfterMillis(), now);
  }

  /** Records that a call was answered, including by a conflict. */
  public void succeeded(long now) {
    if (isOut(now)) {
      reachableSince = now;
    }
    answeredOnce = true;
    lastSuccess = now;
  }

  /** Returns whether the platform is out for this daemon. */
  public boolean isOut(long now) {
    return !answeredOnce || now - lastSuccess >= outAfterMillis;
  }

  /**
   * Returns since when the platform has been reached without interruption; only meaningful while it
   * is not out.
   */
  public long reachableSince() {
    return reachableSince;
  }
}
