package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.SoftwareVersion;

/**
 * The doubt whether an endpoint's process is still the one of its list entry, after connections to
 * it were lost.
 *
 * <p>An endpoint may start again under its name as another software version. Until its new entry
 * has been read, its streams would be taken for those of the version before, and streams of that
 * version would continue there. The doubt ends when a connection that is older than the first loss
 * shows that the process lives, or when the same entry has been read after a new connection was
 * opened: a process registers before it serves, so there has been no other one. It also ends with a
 * new entry, but then it stays unknown which process has served meanwhile.
 *
 * <p>Used under the lock of the endpoint's {@link EndpointGroup}.
 */
final class ProcessDoubt {

  /** Time after a failed verification in which no other one is awaited, in milliseconds. */
  private static final long UNREACHABLE_MS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long since;
  private long failedAt = NEVER;
  private SoftwareVersion software = SoftwareVersion.UNSTATED;

  /**
   * Creates a doubt.
   *
   * @param since when the first connection was lost, in milliseconds
   */
  ProcessDoubt(long since) {
    this.since = since;
  }

  /** Returns whether a request was sent before the first connection was lost. */
  boolean isSentBefore(long sentAt) {
    return sentAt < since;
  }

  /** Records which version the process has been all the time. */
  void confirmed(SoftwareVersion version) {
    software = version;
  }

  /** Returns the version of the process since; unstated if that is not known. */
  SoftwareVersion software() {
    return software;
  }

  /** Records that the endpoint could not be verified. */
  void verificationFailed(long now) {
    failedAt = now;
  }

  /** Returns whether it is worth waiting for a verification. */
  boolean isVerifiable(long now) {
    return now - failedAt > UNREACHABLE_MS;
  }
}
