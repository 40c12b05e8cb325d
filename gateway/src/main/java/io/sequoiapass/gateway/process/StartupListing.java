package io.sequoiapass.gateway.process;

/**
 * Decides from whom a starting daemon gets the list of endpoints.
 *
 * <p>The load it answers: a large fleet that starts at the same moment. If each daemon asks the
 * store for thousands of entries, and each coordinator sends all of them to each daemon once more,
 * the fleet is busy with that for longer than with all else. When a fleet starts for the first
 * time, nobody is served yet, so its daemons wait for the coordinator of their data centre, which
 * sends the list once. A daemon that starts later has callers waiting and asks the store; its links
 * wait a moment for the answer, so that coordinators need to send only changes.
 *
 * <pre>{@code
 * if (listing.leasesRead(noLeaseExists, now)) { ... }      // the first answer
 * boolean postpone = listing.postponesLink(isOwn, now);    // until the endpoints are listed
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
final class StartupListing {

  /** How long links of a daemon that asks the store wait for the answer, in milliseconds. */
  static final long LINK_WAIT_MS = 300;

  private Fleet fleet = Fleet.UNKNOWN;
  private long firstReadAt;

  /** State of the fleet when this daemon started. */
  private enum Fleet {
    /** The leases have not been read. */
    UNKNOWN,
    /** No lease had ever been written: all daemons start together. */
    STARTING,
    /** There were leases, or the store did not answer: others may serve. */
    RUNNING
  }

  /**
   * Handles the end of a read of the leases; only the first one counts.
   *
   * @param noLeaseExists whether the store has answered that none was ever written
   * @param now the time, in milliseconds
   * @return whether it was the first
   */
  boolean leasesRead(boolean noLeaseExists, long now) {
    if (fleet != Fleet.UNKNOWN) {
      return false;
    }
    fleet = noLeaseExists ? Fleet.STARTING : Fleet.RUNNING;
    firstReadAt = now;
    return true;
  }

  /** Returns whether to wait for coordinators instead of asking the store. */
  boolean awaitsCoordinators() {
    return fleet != Fleet.RUNNING;
  }

  /**
   * Returns whether a link has to wait until the endpoints are listed.
   *
   * @param own whether it is the link to the coordinator of this daemon's data centre
   * @param now the time, in milliseconds
   */
  boolean postponesLink(boolean own, long now) {
    return fleet == Fleet.STARTING ? !own : now - firstReadAt < LINK_WAIT_MS;
  }
}
