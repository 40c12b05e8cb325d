package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import java.util.Objects;

/**
 * Identity of a daemon process.
 *
 * @param daemon its name
 * @param dataCentre its data centre
 * @param incarnation a number that increases with each start of a process under this name
 * @param peerAddress its address for peers
 */
public record DaemonIdentity(
    DaemonId daemon, DataCentreId dataCentre, long incarnation, String peerAddress) {

  /** Rejects null components. */
  public DaemonIdentity {
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(peerAddress, "peerAddress");
  }
}
