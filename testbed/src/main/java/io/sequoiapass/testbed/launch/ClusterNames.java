package io.sequoiapass.testbed.launch;

/** Names what a cluster configures. */
public final class ClusterNames {

  /** The base model of all engines. */
  public static final String MODEL = "base-a";

  /** The service that uses adapters; its calls may run twice. */
  public static final String NOTES = "notes";

  /** The plain service; its calls may not run twice. */
  public static final String SLIPS = "slips";

  /** The version of each adapter before the one in force; it may still be named. */
  public static final String FORMER_VERSION = "v1";

  /** The version of each adapter that is in force. */
  public static final String CURRENT_VERSION = "v2";

  private ClusterNames() {}

  /**
   * Returns an adapter's name.
   *
   * @param rank its place by popularity, from 0
   */
  public static String adapter(int rank) {
    return "adapter-" + rank;
  }
}
