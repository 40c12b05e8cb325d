package io.sequoiapass.testbed.launch;

/** Tells between which processes of a cluster fault proxies stand. */
enum ProxyPlan {
  /** Nowhere. */
  NONE(false, false),
  /** Between each daemon and the platform only; for clusters of many daemons. */
  PLATFORM(true, false),
  /** Between each daemon and the platform, its peers and the endpoints. */
  ALL(true, true);

  private final boolean platform;
  private final boolean others;

  ProxyPlan(boolean platform, boolean others) {
    this.platform = platform;
    this.others = others;
  }

  boolean beforePlatform() {
    return platform;
  }

  boolean beforePeersAndEndpoints() {
    return others;
  }
}
