package io.sequoiapass.daemon.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.sequoiapass.coordination.MillisClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Serves HTTP/1.1 on one address.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.builder(group, handler)
 *     .maxBodyBytes(1 << 20)
 *     .start(new InetSocketAddress("127.0.0.1", 0));
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class HttpServer implements AutoCloseable {

  /**
   * The system would let each connection of a slow caller hold some megabytes, and thousands of
   * them all memory of a small host; what a caller reads in a few milliseconds is enough.
   */
  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  /** Parts of an answer that one system call may carry. */
  private static final int MAX_JOINED_FLUSHES = 64;

  private static final int WRITE_LOW_BYTES = 16 << 10;
  private static final int WRITE_HIGH_BYTES = 64 << 10;

  private final Channel listening;
  private final ChannelGroup connections;
  private final AtomicBoolean closing;
  private final Map<EventLoop, LoopPulse> pulses;

  private HttpServer(
      Channel listening,
      ChannelGroup connections,
      AtomicBoolean closing,
      Map<EventLoop, LoopPulse> pulses) {
    this.listening = listening;
    this.connections = connections;
    this.closing = closing;
    this.pulses = pulses;
  }

  /**
   * Returns a builder.
   *
   * @param group the event loops to run on
   * @param handler what answers
   */
  public static Builder builder(EventLoopGroup group, HttpHandler handler) {
    return new Builder(group, handler);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) listening.localAddress()).getPort();
  }

  /** Returns how many connections are open. */
  public int openConnections() {
    return connections.size();
  }

  /** Closes each connection after the answer that is under way or comes next on it. */
  public void closeAfterAnswers() {
    closing.set(true);
  }

  /** Closes the connections on which no request is arriving or being answered. */
  public void closeResting() {
    for (Channel connection : connections) {
      ConnectionGuard guard = connection.pipeline().get(ConnectionGuard.class);
      connection
          .eventLoop()
          .execute(
              () -> {
                if (guard != null && guard.isResting()) {
                  connection.close();
                }
              });
    }
  }

  /** Stops accepting connections; those open go on. */
  public void stopAccepting() {
    listening.close().awaitUninterruptibly();
  }

  @Override
  public void close() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
    pulses.values().forEach(LoopPulse::stop);
  }

  /** Builds a server; not safe for use by several threads. */
  public static final class Builder {

    private final EventLoopGroup group;
    private final HttpHandler handler;
    private final AtomicBoolean closing = new AtomicBoolean();
    private final Map<EventLoop, LoopPulse> pulses = new ConcurrentHashMap<>();
    private int maxBodyBytes = 1 << 20;
    private int maxLineBytes = 4 << 10;
    private int maxHeaderBytes = 16 << 10;
    private Supplier<ConnectionLimits> limits;

    private Builder(EventLoopGroup group, HttpHandler handler) {
      this.group = Objects.requireNonNull(group, "group");
      this.handler = Objects.requireNonNull(handler, "handler");
    }

    /**
     * Sets the largest body taken.
     *
     * @param bytes the bound in bytes
     */
    public Builder maxBodyBytes(int bytes) {
      if (bytes <= 0) {
        throw new IllegalArgumentException("maxBodyBytes must be positive: " + bytes);
      }
      this.maxBodyBytes = bytes;
      return this;
    }

    /**
     * Sets where the limits of a connection come from as it opens, in place of fixed ones.
     *
     * @param source returns the limits in force
     */
    public Builder limits(Supplier<ConnectionLimits> source) {
      this.limits = Objects.requireNonNull(source, "source");
      return this;
    }

    /**
     * Starts listening.
     *
     * @param address where; port 0 takes any free port
     * @throws IOException if the address cannot be had
     */
    public HttpServer start(InetSocketAddress address) throws IOException {
      ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
      ServerBootstrap bootstrap =
          new ServerBootstrap()
              .group(group)
              .channel(SocketTransport.of(group).server())
              .option(ChannelOption.SO_BACKLOG, 1024)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childOption(
                  ChannelOption.WRITE_BUFFER_WATER_MARK,
                  new WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
              .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
              .childHandler(initializer(connections));
      var binding = bootstrap.bind(address).awaitUninterruptibly();
      if (!binding.isSuccess()) {
        throw new IOException("cannot listen on " + address, binding.cause());
      }
      return new HttpServer(binding.channel(), connections, closing, pulses);
    }

    private ConnectionLimits fixedLimits() {
      return new ConnectionLimits(maxHeaderBytes, maxBodyBytes, 0, 0);
    }

    private ChannelInitializer<SocketChannel> initializer(ChannelGroup connections) {
      return new ChannelInitializer<>() {
        @Override
        protected void initChannel(SocketChannel channel) {
          connections.add(channel);
          channel.pipeline().addLast(new FlushConsolidationHandler(MAX_JOINED_FLUSHES, true));
          ConnectionLimits bounds = limits == null ? fixedLimits() : limits.get();
          ConnectionGuard guard = new ConnectionGuard(bounds, MillisClock.monotonic());
          channel.pipeline().addLast(guard);
          channel
              .pipeline()
              .addLast(new HttpServerCodec(maxLineBytes, bounds.maxHeaderBytes(), 64 << 10));
          channel.pipeline().addLast(new BodyCollector(bounds.maxBodyBytes()));
          LoopPulse pulse =
              pulses.computeIfAbsent(
                  channel.eventLoop(), loop -> LoopPulse.start(loop, MillisClock.monotonic()));
          channel.pipeline().addLast(new HttpServerHandler(handler, guard, closing::get, pulse));
        }
      };
    }
  }
}
