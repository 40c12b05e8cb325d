package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.ClockReading;
import java.net.InetSocketAddress;
import java.util.Optional;

/** A daemon that is linked to a coordinator; guarded by the lock of the {@link Coordinator}. */
final class LinkedDaemon {

  DaemonId daemon;
  DataCentreId dataCentre;
  long lastReceivedAt;
  boolean coordinates;
  boolean servesPeers = true;
  InetSocketAddress peerAddress;
  boolean hasEndpoints;
  boolean hasMembers;
  boolean hasVerdicts;
  long endpointsRevision;

  /** The daemon's clocks in its last report. */
  ClockReading lastReport;

  /** The daemon's clocks before the last question to the store that was answered. */
  Optional<ClockReading> proved = Optional.empty();
}
