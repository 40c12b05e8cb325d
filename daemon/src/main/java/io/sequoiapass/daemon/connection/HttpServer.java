package io.sequoiapass.daemon.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SingleThreadEventLoop;
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
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * An HTTP/1.1 server on one address.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.builder(group, handler)
 *     .maxBodyBytes(1 << 20)
 *     .start(new InetSocketAddress("127.0.0.1", 0));
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class HttpServer implements AutoCloseable {

  /**
   * The system default lets each connection of a slow client hold some megabytes, so thousands of
   * them could take all memory of a small host. This size holds what a client reads in a few
   * milliseconds.
   */
  private static final int SEND_BUFFER_BYTES = 64 * 1024;

  /** Maximum number of response parts written by one system call. */
  private static final int MAX_CONSOLIDATED_FLUSHES = 64;

  private static final int WRITE_LOW_WATERMARK_BYTES = 16 << 10;
  private static final int WRITE_HIGH_WATERMARK_BYTES = 64 << 10;

  private final Channel listening;
  private final ChannelGroup connections;
  private final AtomicBoolean closing;

  private HttpServer(Channel listening, ChannelGroup connections, AtomicBoolean closing) {
    this.listening = listening;
    this.connections = connections;
    this.closing = closing;
  }

  /**
   * Returns a builder.
   *
   * @param group the event loops to run on
   * @param handler handles the requests
   */
  public static Builder builder(EventLoopGroup group, HttpHandler handler) {
    return new Builder(group, handler);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) listening.localAddress()).getPort();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  /**
   * Closes each connection after the response that is in progress or next on it, or after those to
   * the requests that wait behind it.
   */
  public void closeAfterAnswers() {
    closing.set(true);
  }

  /** Closes the connections on which no request is being received or processed. */
  public void closeIdle() {
    for (Channel connection : connections) {
      ConnectionTimeoutHandler timeouts = connection.pipeline().get(ConnectionTimeoutHandler.class);
      connection
          .eventLoop()
          .execute(
              () -> {
                if (timeouts != null) {
                  timeouts.closeIfIdle(connection);
                }
              });
    }
  }

  /** Stops accepting connections; open connections are unaffected. */
  public void stopAccepting() {
    listening.close().awaitUninterruptibly();
  }

  /** Closes all connections; the event loops must not end before this returns. */
  @Override
  public void close() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
  }

  /** Builds a server; not thread-safe. */
  public static final class Builder {

    private final EventLoopGroup group;
    private final HttpHandler handler;
    private final AtomicBoolean closing = new AtomicBoolean();
    private final Map<EventLoop, ConnectionReads> reads = new ConcurrentHashMap<>();
    private int maxBodyBytes = 1 << 20;
    private int maxLineBytes = 4 << 10;
    private int maxHeaderBytes = 16 << 10;
    private Supplier<ConnectionLimits> limits;
    private BooleanSupplier accepts = () -> true;
    private RequestMemory memory = RequestMemory.UNBOUNDED;
    private ServerObserver observer = ServerObserver.NONE;

    private Builder(EventLoopGroup group, HttpHandler handler) {
      this.group = Objects.requireNonNull(group, "group");
      this.handler = Objects.requireNonNull(handler, "handler");
    }

    /**
     * Sets the maximum size of a request body.
     *
     * @param bytes the limit in bytes
     * @throws IllegalArgumentException if it is not positive
     */
    public Builder maxBodyBytes(int bytes) {
      if (bytes <= 0) {
        throw new IllegalArgumentException("maxBodyBytes must be positive: " + bytes);
      }
      this.maxBodyBytes = bytes;
      return this;
    }

    /**
     * Sets a source of limits instead of fixed ones. The sizes are read for each connection as it
     * opens; of the timeouts the longest since then holds.
     *
     * @param source supplies the current limits
     */
    public Builder limits(Supplier<ConnectionLimits> source) {
      this.limits = Objects.requireNonNull(source, "source");
      return this;
    }

    /**
     * Sets what decides on each new connection; one that is not accepted is closed unread.
     *
     * @param condition whether a connection that has just been opened is kept
     */
    public Builder acceptIf(BooleanSupplier condition) {
      this.accepts = Objects.requireNonNull(condition, "condition");
      return this;
    }

    /**
     * Sets what bounds the bodies of all requests together.
     *
     * @param bound the memory
     */
    public Builder memory(RequestMemory bound) {
      this.memory = Objects.requireNonNull(bound, "bound");
      return this;
    }

    /**
     * Sets what receives why connections and responses end.
     *
     * @param receiver the receiver
     */
    public Builder observer(ServerObserver receiver) {
      this.observer = Objects.requireNonNull(receiver, "receiver");
      return this;
    }

    /**
     * Starts listening.
     *
     * @param address the address to listen on; port 0 selects any free port
     * @throws IOException if the address cannot be bound
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
                  new WriteBufferWaterMark(WRITE_LOW_WATERMARK_BYTES, WRITE_HIGH_WATERMARK_BYTES))
              .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
              .childHandler(initializer(connections));
      var binding = bootstrap.bind(address).awaitUninterruptibly();
      if (!binding.isSuccess()) {
        throw new IOException("cannot listen on " + address, binding.cause());
      }
      return new HttpServer(binding.channel(), connections, closing);
    }

    private ConnectionLimits fixedLimits() {
      return new ConnectionLimits(maxHeaderBytes, maxBodyBytes, 0, 0);
    }

    private ChannelInitializer<SocketChannel> initializer(ChannelGroup connections) {
      Supplier<ConnectionLimits> current = limits == null ? this::fixedLimits : limits;
      return new ChannelInitializer<>() {
        @Override
        protected void initChannel(SocketChannel channel) {
          if (!accepts.getAsBoolean()) {
            channel.close();
            return;
          }
          connections.add(channel);
          channel.pipeline().addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true));
          ConnectionLimits bounds = current.get();
          ConnectionReads loopReads =
              reads.computeIfAbsent(
                  channel.eventLoop(),
                  loop ->
                      new ConnectionReads((SingleThreadEventLoop) loop, MillisClock.monotonic()));
          ConnectionTimeoutHandler timeouts =
              new ConnectionTimeoutHandler(current, MillisClock.monotonic(), loopReads, observer);
          channel.pipeline().addLast(timeouts);
          channel
              .pipeline()
              .addLast(new HttpServerCodec(maxLineBytes, bounds.maxHeaderBytes(), 64 << 10));
          BodyCollector bodies = new BodyCollector(bounds.maxBodyBytes(), memory);
          channel.pipeline().addLast(bodies);
          RequestBodies room = new RequestBodies(bodies, memory);
          channel
              .pipeline()
              .addLast(
                  new HttpServerHandler(
                      handler, timeouts, closing::get, loopReads, room, observer));
        }
      };
    }
  }
}
