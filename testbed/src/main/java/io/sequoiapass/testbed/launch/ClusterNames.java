package io.sequoiapass.testbed.launch;

/** Names of the objects in the configuration of a cluster. */
public final class ClusterNames {

  /** The base model of all engines. */
  public static final String MODEL = "base-a";

  /** The service that uses adapters; its calls are repeatable. */
  public static final String NOTES = "notes";

  /** The plain service; its calls are not repeatable. */
  public static final String SLIPS = "slips";

  /** The previous version of each adapter; requests may still name it. */
  public static final String PREVIOUS_VERSION = "v1";

  /** The current version of each adapter. */
  public static final String CURRENT_VERSION = "v2";

  private ClusterNames() {}

  /**
   * Returns an adapter's name.
   *
   * @param rank its popularity rank, from 0
   */
  public static String adapter(int rank) {
    return "adapter-" + rank;
  }
}
