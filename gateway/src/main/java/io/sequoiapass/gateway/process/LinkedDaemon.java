package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.daemon.connection.FrameChannel;
import java.net.InetSocketAddress;
import java.util.Optional;

/** A daemon that is linked to a coordinator; guarded by the lock of the {@link Coordinator}. */
final class LinkedDaemon {

  final FrameChannel channel;
  DaemonId daemon;
  DataCentreId dataCentre;
  long lastReceivedAt;
  boolean coordinates;
  boolean servesPeers = true;
  InetSocketAddress peerAddress;
  boolean hasEndpoints;
  boolean hasPlacements;
  boolean hasMembers;
  boolean hasSpeeds;
  boolean hasVerdicts;
  long endpointsRevision;

  /**
   * Creates a daemon that has not introduced itself.
   *
   * @param channel its link
   */
  LinkedDaemon(FrameChannel channel) {
    this.channel = channel;
  }

  /** The daemon's clocks in its last report. */
  ClockReading lastReport;

  /** The daemon's clocks before the last question to the store that was answered. */
  Optional<ClockReading> proved = Optional.empty();
}
