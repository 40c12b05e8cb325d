package io.sequoiapass.daemon.connection.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts the bytes and frames sent to peers, separately for control and data. Safe for use by
 * several threads.
 */
final class PeerCounters {

  private final Counter controlBytes;
  private final Counter controlFrames;
  private final Counter dataBytes;

  PeerCounters(MetricRegistry metrics) {
    this.controlBytes = metrics.counter("peer.control.bytes");
    this.controlFrames = metrics.counter("peer.control.frames");
    this.dataBytes = metrics.counter("peer.data.bytes");
  }

  void sent(PeerMessage message, int bytes) {
    if (message instanceof PeerMessage.OfAttempt) {
      dataBytes.inc(bytes);
    } else {
      controlBytes.inc(bytes);
      controlFrames.inc();
    }
  }
}
