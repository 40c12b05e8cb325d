package io.sequoiapass.coordination.process;

/**
 * Tells whether the platform answers this daemon, and since when without a break.
 *
 * <pre>{@code
 * PlatformContact contact = PlatformContact.create(LeaseSettings.DEFAULT, now);
 * contact.succeeded(now);
 * boolean out = contact.isOut(now + 9_000);
 * }</pre>
 *
 * <p>Every call to the platform reports here, so renewals alone keep it fresh. Not thread-safe; one
 * shard drives it.
 */
public final class PlatformContact {

  private final long outAfterMillis;
  private long since;
  private long lastSuccess;
  private boolean inContact;

  private PlatformContact(long outAfterMillis, long now) {
    this.outAfterMillis = outAfterMillis;
    this.lastSuccess = now;
  }

  /**
   * Returns a contact that waits for its first answer.
   *
   * @param settings the times
   * @param now the time
   */
  public static PlatformContact create(LeaseSettings settings, long now) {
    return new PlatformContact(settings.outAfterMillis(), now);
  }

  /** Takes in that a call was answered, also by a conflict. */
  public void succeeded(long now) {
    if (isOut(now)) {
      since = now;
    }
    inContact = true;
    lastSuccess = now;
  }

  /** Returns whether the platform is out for this daemon. */
  public boolean isOut(long now) {
    return !inContact || now - lastSuccess >= outAfterMillis;
  }

  /** Returns when the unbroken contact began; only meaningful while the platform is not out. */
  public long since() {
    return since;
  }
}
