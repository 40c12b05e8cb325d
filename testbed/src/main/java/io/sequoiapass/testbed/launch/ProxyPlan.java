package io.sequoiapass.testbed.launch;

/** Which connections of a cluster go through fault proxies. */
enum ProxyPlan {
  /** No connection. */
  NONE(false, false),
  /** Connections to the platform only; for clusters of many daemons. */
  PLATFORM(true, false),
  /** Connections to the platform, to peers and to endpoints. */
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
