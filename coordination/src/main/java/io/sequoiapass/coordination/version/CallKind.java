package io.sequoiapass.coordination.version;

/** What a call to the platform is for; the more urgent, the deeper it may draw on the budget. */
public enum CallKind {
  /** Renew the own lease: may use the last token. */
  LEASE(0.0),
  /** Read or change ownership. */
  OWNERSHIP(0.2),
  /** Watch or read configuration. */
  CONFIGURATION(0.4),
  /** The host list and other hints. */
  HINT(0.6);

  private final double reservedShare;

  CallKind(double reservedShare) {
    this.reservedShare = reservedShare;
  }

  /** Returns the share of the burst that this kind leaves to more urgent ones. */
  double reservedShare() {
    return reservedShare;
  }
}
