package io.sequoiapass.daemon.connection.peer;

import io.netty.channel.EventLoopGroup;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Joins the entry and the owner of one process by a pair of channels, so that both sides are
 * written once and need not know whether the other is near.
 *
 * <p>Messages but tokens are handed over on one event loop: their order holds, and no shard is ever
 * called from within another shard's lock. Safe for use by several threads.
 */
public final class LocalLink {

  private final Executor executor;
  private PeerListener toOwner;
  private PeerListener toEntry;
  private final End entrySide = new End(() -> toOwner, () -> end(false));
  private final End ownerSide = new End(() -> toEntry, () -> end(true));

  /**
   * Makes a link.
   *
   * @param group one of its loops hands messages over
   */
  public LocalLink(EventLoopGroup group) {
    this.executor = group.next();
  }

  /**
   * Opens the link.
   *
   * @param owner hears what the entry sends
   * @param entry hears what the owner sends
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

  /** Is one end; what is sent here is heard by the listener with the other end to answer on. */
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
        // An owner sends tokens under no lock, so they need no hand-over, which would cost each of
        // them a wake-up of another thread. What an attempt sends after its tokens still follows.
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
      // A process has no link to itself that could break.
    }
  }
}
