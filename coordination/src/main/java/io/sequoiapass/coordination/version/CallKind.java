package io.sequoiapass.coordination.version;

/** Purpose of a call to the platform; more urgent kinds may use more of the call budget. */
public enum CallKind {
  /** Renews the daemon's own lease; may use the last token. */
  LEASE(0.0),
  /** Reads or changes ownership. */
  OWNERSHIP(0.2),
  /** Watches or reads configuration. */
  CONFIGURATION(0.4),
  /** Reads the host list and other hints. */
  HINT(0.6);

  private final double reservedShare;

  CallKind(double reservedShare) {
    this.reservedShare = reservedShare;
  }

  /** Returns the share of the burst that this kind leaves for more urgent ones. */
  double reservedShare() {
    return reservedShare;
  }
}
