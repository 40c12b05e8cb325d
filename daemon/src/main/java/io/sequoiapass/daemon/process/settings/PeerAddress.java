package io.sequoiapass.daemon.process.settings;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Address on which another daemon listens for its peers.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param daemon the other daemon
 * @param dataCentre its data centre
 * @param address its peer address
 */
public record PeerAddress(DaemonId daemon, DataCentreId dataCentre, InetSocketAddress address) {

  /** Checks that no component is null. */
  public PeerAddress {
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(address, "address");
  }
}
