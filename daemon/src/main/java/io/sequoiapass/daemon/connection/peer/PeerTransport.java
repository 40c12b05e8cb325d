package io.sequoiapass.daemon.connection.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.sequoiapass.daemon.connection.SocketTransport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
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

  /** Largest frame: a request's body of a megabyte and its fields, or a push of objects. */
  static final int MAX_FRAME_BYTES = 4 << 20;

  private static final int LENGTH_BYTES = 4;

  /**
   * Frames that one system call may carry. Tokens of all streams of a step arrive together; without
   * joining, each costs a call of its own, and calls are most of what a token costs.
   */
  private static final int MAX_JOINED_FLUSHES = 256;

  private static final int CONNECT_TIMEOUT_MS = 500;

  private final EventLoopGroup group;
  private final PeerCounters counters;

  private PeerTransport(EventLoopGroup group, MetricRegistry metrics) {
    this.group = Objects.requireNonNull(group, "group");
    this.counters = new PeerCounters(metrics);
  }

  /**
   * Returns a transport.
   *
   * @param group the event loops to run on
   * @param metrics where sent bytes are counted, control apart from data
   */
  public static PeerTransport create(EventLoopGroup group, MetricRegistry metrics) {
    return new PeerTransport(group, metrics);
  }

  /**
   * Accepts connections.
   *
   * @param address where to listen
   * @param listeners makes the listener of each connection
   * @return the port
   * @throws IOException if the address cannot be had
   */
  public int listen(InetSocketAddress address, Supplier<PeerListener> listeners)
      throws IOException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(SocketTransport.of(group).server())
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(listeners));
    ChannelFuture binding = bootstrap.bind(address).awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IOException("cannot listen for peers on " + address, binding.cause());
    }
    return ((InetSocketAddress) binding.channel().localAddress()).getPort();
  }

  /**
   * Opens a connection.
   *
   * @param address the peer
   * @param listener hears {@code opened} on success and {@code closed} in any case
   */
  public void connect(InetSocketAddress address, PeerListener listener) {
    ChannelFuture opening =
        new Bootstrap()
            .group(group)
            .channel(SocketTransport.of(group).client())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(initializer(() -> listener))
            .connect(address);
    opening.addListener(
        done -> {
          if (!done.isSuccess()) {
            listener.closed(new NettyPeerChannel(opening.channel(), counters));
          }
        });
  }

  private ChannelInitializer<SocketChannel> initializer(Supplier<PeerListener> listeners) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        addHandlers(channel, listeners.get());
      }
    };
  }

  private void addHandlers(Channel channel, PeerListener listener) {
    channel
        .pipeline()
        .addLast(new FlushConsolidationHandler(MAX_JOINED_FLUSHES, true))
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new PeerHandler(new NettyPeerChannel(channel, counters), listener));
  }
}
