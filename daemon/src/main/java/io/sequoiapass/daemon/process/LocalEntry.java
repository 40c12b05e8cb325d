package io.sequoiapass.daemon.process;

import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerListener;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.process.entry.EntryShards;

/**
 * Delivers messages from this process's own owner to its entry; safe for use by several threads.
 */
record LocalEntry(EntryShards entries) implements PeerListener {

  @Override
  public void opened(PeerChannel channel) {
    // The in-process link is always open.
  }

  @Override
  public void received(PeerChannel channel, PeerMessage message) {
    if (message instanceof PeerMessage.OfAttempt ofAttempt) {
      entries.received(channel, ofAttempt);
    }
  }

  @Override
  public void writabilityChanged(PeerChannel channel) {
    // Never called on the in-process link.
  }

  @Override
  public void closed(PeerChannel channel) {
    // Never called on the in-process link.
  }
}
