package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import java.util.Objects;

/**
 * Tells who a daemon process is.
 *
 * @param daemon its name
 * @param dataCentre where it runs
 * @param incarnation a number that grows with each start under this name
 * @param peerAddress where peers reach it
 */
public record DaemonIdentity(
    DaemonId daemon, DataCentreId dataCentre, long incarnation, String peerAddress) {

  /** Checks that all parts are there. */
  public DaemonIdentity {
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(peerAddress, "peerAddress");
  }
}
