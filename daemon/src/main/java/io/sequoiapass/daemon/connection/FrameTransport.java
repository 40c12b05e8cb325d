package io.sequoiapass.daemon.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Opens and accepts TCP connections that carry length-prefixed frames.
 *
 * <pre>{@code
 * FrameTransport transport = FrameTransport.create(group);
 * int port = transport.listen(address, () -> new ServerSide());
 * transport.connect(peer, new ClientSide());
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class FrameTransport {

  /**
   * Maximum frame size; fits a request with a body of 1 MB and its fields, or a push of objects.
   */
  private static final int MAX_FRAME_BYTES = 4 << 20;

  private static final int LENGTH_BYTES = 4;

  /**
   * Maximum number of frames written by one system call. The tokens of all streams of a step arrive
   * together; without consolidation each takes its own system call, and system calls are most of
   * the cost of a token.
   */
  private static final int MAX_CONSOLIDATED_FLUSHES = 256;

  private static final int CONNECT_TIMEOUT_MS = 500;

  private final EventLoopGroup group;

  private FrameTransport(EventLoopGroup group) {
    this.group = Objects.requireNonNull(group, "group");
  }

  /**
   * Returns a transport.
   *
   * @param group the event loops to run on
   */
  public static FrameTransport create(EventLoopGroup group) {
    return new FrameTransport(group);
  }

  /**
   * Accepts connections.
   *
   * @param address the address to listen on
   * @param listeners supplies the listener for each connection
   * @return the port that it listens on
   * @throws IOException if the address cannot be bound
   */
  public int listen(InetSocketAddress address, Supplier<FrameListener> listeners)
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
   * @param listener receives {@code opened} on success, and {@code closed} after a failed attempt
   *     or when the connection closes
   */
  public void connect(InetSocketAddress address, FrameListener listener) {
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
            listener.closed(new FrameChannel(opening.channel()));
          }
        });
  }

  private ChannelInitializer<SocketChannel> initializer(Supplier<FrameListener> listeners) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        addHandlers(channel, listeners.get());
      }
    };
  }

  private static void addHandlers(Channel channel, FrameListener listener) {
    channel
        .pipeline()
        .addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true))
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new Handler(new FrameChannel(channel), listener));
  }

  /** Passes the frames of one connection to its listener; used on the connection's event loop. */
  private static final class Handler extends SimpleChannelInboundHandler<ByteBuf> {

    private final FrameChannel peer;
    private final FrameListener listener;

    Handler(FrameChannel peer, FrameListener listener) {
      this.peer = peer;
      this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      listener.opened(peer);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
      listener.received(peer, ByteBufUtil.getBytes(frame));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      listener.writabilityChanged(peer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      listener.closed(peer);
    }

    /**
     * Closes the connection. After a frame that cannot be decoded, the two sides disagree on frame
     * boundaries, so every later frame on this connection would be misread. Closing is enough: each
     * side treats the attempts on it as lost, and other connections are unaffected.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
