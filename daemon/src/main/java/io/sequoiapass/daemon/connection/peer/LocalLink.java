package io.sequoiapass.daemon.connection.peer;

import io.netty.channel.EventLoopGroup;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * A pair of channels that connects the entry and the owner within one process, so that the same
 * code serves local and remote peers.
 *
 * <p>All messages except tokens are delivered on one event loop. This preserves their order, and no
 * shard is called while another shard's lock is held. Safe for use by several threads.
 */
public final class LocalLink {

  private final Executor executor;
  private PeerListener toOwner;
  private PeerListener toEntry;
  private final End entrySide = new End(() -> toOwner, () -> end(false));
  private final End ownerSide = new End(() -> toEntry, () -> end(true));

  /**
   * Creates a link.
   *
   * @param group the group whose event loop delivers the messages
   */
  public LocalLink(EventLoopGroup group) {
    this.executor = group.next();
  }

  /**
   * Opens the link.
   *
   * @param owner receives what the entry sends
   * @param entry receives what the owner sends
   */
  public void open(PeerListener owner, PeerListener entry) {
    toOwner = Objects.requireNonNull(owner, "owner");
    toEntry = Objects.requireNonNull(entry, "entry");
  }

  /** Returns the channel over which the entry sends. */
  public PeerChannel entrySide() {
    return entrySide;
  }

  private PeerChannel end(boolean ofEntry) {
    return ofEntry ? entrySide : ownerSide;
  }

  /**
   * One end of the link. The listener of the other side receives each message together with the
   * channel to answer on.
   */
  private final class End implements PeerChannel {

    private final Supplier<PeerListener> listener;
    private final Supplier<PeerChannel> other;

    End(Supplier<PeerListener> listener, Supplier<PeerChannel> other) {
      this.listener = listener;
      this.other = other;
    }

    @Override
    public boolean send(PeerMessage message) {
      if (message instanceof PeerMessage.Tokens) {
        // An owner holds no lock while it sends tokens, so they are delivered directly: the event
        // loop would cost a thread wake-up each. Later messages of the attempt still follow them.
        listener.get().received(other.get(), message);
      } else {
        executor.execute(() -> listener.get().received(other.get(), message));
      }
      return true;
    }

    @Override
    public boolean writable() {
      return true;
    }

    @Override
    public void close() {
      // There is no connection to close within one process.
    }
  }
}
