package io.sequoiapass.daemon.connection.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.sequoiapass.daemon.connection.FrameTransport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * Opens and accepts connections between daemons.
 *
 * <pre>{@code
 * PeerTransport transport = PeerTransport.create(group, metrics);
 * int port = transport.listen(address, () -> new OwnerSide());
 * transport.connect(peer, new EntrySide());
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class PeerTransport {

  private final FrameTransport frames;
  private final PeerCounters counters;

  private PeerTransport(EventLoopGroup group, MetricRegistry metrics) {
    this.frames = FrameTransport.create(group);
    this.counters = new PeerCounters(metrics);
  }

  /**
   * Creates a transport.
   *
   * @param group the event loops of the connections
   * @param metrics counts the bytes sent, separately for control and data
   */
  public static PeerTransport create(EventLoopGroup group, MetricRegistry metrics) {
    return new PeerTransport(group, metrics);
  }

  /**
   * Accepts connections.
   *
   * @param address the address to listen on
   * @param listeners creates the listener of each connection
   * @return the port
   * @throws IOException if the address cannot be bound
   */
  public int listen(InetSocketAddress address, Supplier<PeerListener> listeners)
      throws IOException {
    return frames.listen(address, () -> new PeerHandler(counters, listeners.get()));
  }

  /**
   * Opens a connection.
   *
   * @param address the peer's address
   * @param listener receives {@code opened} on success and {@code closed} in any case
   */
  public void connect(InetSocketAddress address, PeerListener listener) {
    frames.connect(address, new PeerHandler(counters, listener));
  }
}
