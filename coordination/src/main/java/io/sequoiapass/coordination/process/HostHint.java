package io.sequoiapass.coordination.process;

/** What the platform's host list says of a daemon's host; the list lags, so it proves nothing. */
public enum HostHint {
  /** Listed as live. */
  LIVE(1),
  /** Listed as leaving: its silence is believed sooner. */
  LEAVING(2),
  /** Not listed any more: its silence is believed sooner. */
  ABSENT(2);

  private final int haste;

  HostHint(int haste) {
    this.haste = haste;
  }

  /** Returns how long a silence is borne, where {@code millis} is borne without a hint. */
  long patience(long millis) {
    return millis / haste;
  }
}
