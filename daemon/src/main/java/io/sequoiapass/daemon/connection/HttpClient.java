package io.sequoiapass.daemon.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.sequoiapass.coordination.MillisClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * An HTTP/1.1 client that reuses idle connections.
 *
 * <pre>{@code
 * HttpClient client = HttpClient.create(group, 500);
 * client.send(HttpCall.to(address, "GET", "/v1/state"), 1_000).thenAccept(answer -> ...);
 * }</pre>
 *
 * <p>Thread-safe. Listeners are called on event loops and must not block.
 */
public final class HttpClient implements HttpTransport {

  /** Beyond this number of addresses, those without idle connections are removed. */
  private static final int MAX_ADDRESSES = 32_768;

  /** Largest body that is collected if the call states no limit, in bytes. */
  private static final int MAX_COLLECTED_BYTES = 1 << 20;

  private static final int MIN_READ_BYTES = 256;
  private static final int FIRST_READ_BYTES = 2 << 10;

  /**
   * Most bytes that a connection reads in one iteration of its event loop. A server that sends
   * faster than its bytes are decoded, as in chunks of one byte, delays the other connections of
   * the loop by the time for these bytes in each iteration.
   */
  static final int MAX_READ_BYTES = 16 << 10;

  private final Bootstrap bootstrap;
  private final String echoedHeader;
  private final ConnectionObserver observer;
  private final ResponseMemory memory;
  private final ConcurrentMap<InetSocketAddress, IdleConnections<Channel>> idle =
      new ConcurrentHashMap<>();
  private final MillisClock clock = MillisClock.monotonic();

  private HttpClient(
      Bootstrap bootstrap,
      String echoedHeader,
      ConnectionObserver observer,
      ResponseMemory memory) {
    this.bootstrap = bootstrap;
    this.echoedHeader = echoedHeader;
    this.observer = observer;
    this.memory = memory;
  }

  /**
   * Returns a client.
   *
   * @param group the event loops to run on
   * @param connectTimeoutMs maximum time to open a connection, in milliseconds
   */
  public static HttpClient create(EventLoopGroup group, int connectTimeoutMs) {
    return create(group, connectTimeoutMs, null);
  }

  /**
   * Returns a client for servers that echo the header with a request's id in the response. A
   * response that echoes another id belongs to another request, such as a late duplicate response
   * to the previous one. It is discarded, since accepting it would deliver one caller's response to
   * another. A request that is sent again takes a connection that has not carried it, where a
   * duplicate response to an earlier send cannot arrive.
   *
   * @param group the event loops to run on
   * @param connectTimeoutMs maximum time to open a connection, in milliseconds
   * @param echoedHeader the name of the header; null if servers echo none
   */
  public static HttpClient create(EventLoopGroup group, int connectTimeoutMs, String echoedHeader) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(SocketTransport.of(group).client())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, oneRead())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    ResponseGuard guard = new ResponseGuard();
                    ResponseDecoder decoder = new ResponseDecoder();
                    channel.pipeline().addLast(guard, decoder, new HttpRequestEncoder());
                    channel.pipeline().addLast(new HttpClientHandler(guard, decoder));
                  }
                });
    return new HttpClient(
        bootstrap,
        echoedHeader,
        ConnectionObserver.NONE,
        new ResponseMemory(ResponseMemory.DEFAULT_BYTES, group));
  }

  /** Returns buffers for one read of a connection in each iteration of its event loop. */
  private static RecvByteBufAllocator oneRead() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
        .maxMessagesPerRead(1);
  }

  /**
   * Returns a client with the same settings whose connections come from one address of this host.
   *
   * @param source the address
   */
  public HttpClient from(InetAddress source) {
    return new HttpClient(
        bootstrap.clone().localAddress(new InetSocketAddress(source, 0)),
        echoedHeader,
        observer,
        memory);
  }

  /**
   * Returns a client with the same settings and no connections that reports to an observer.
   *
   * @param to the observer
   */
  public HttpClient observedBy(ConnectionObserver to) {
    return new HttpClient(bootstrap, echoedHeader, to, memory);
  }

  /**
   * Returns a client with the same settings and no connections that shares a bound on responses.
   *
   * @param shared bounds the bytes of responses that are not complete
   */
  public HttpClient within(ResponseMemory shared) {
    return new HttpClient(bootstrap, echoedHeader, observer, shared);
  }

  /** Returns what bounds the bytes of responses that are not complete. */
  @Override
  public ResponseMemory memory() {
    return memory;
  }

  /**
   * Sends a call and collects its response, which is limited to 1 MiB unless the call states
   * another limit.
   *
   * @param call the request
   * @param timeoutMs maximum time until the response is complete, in milliseconds
   * @return the response; completes exceptionally with an {@link HttpFailure} if there is no
   *     complete response
   */
  @Override
  public CompletableFuture<HttpAnswer> send(HttpCall call, long timeoutMs) {
    CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    HttpCall limited =
        call.maxBodyBytes() == HttpCall.UNLIMITED ? call.maxBodyBytes(MAX_COLLECTED_BYTES) : call;
    Collector collector = new Collector(memory, result);
    collector.stream = stream(limited, timeoutMs, collector);
    return result;
  }

  /**
   * Sends a call and passes its response to a listener part by part. On an event loop, the listener
   * is not called by this method, but after it has returned.
   *
   * @param call the request
   * @param timeoutMs maximum time until the response is complete, in milliseconds
   * @param listener receives the response
   */
  @Override
  public HttpStream stream(HttpCall call, long timeoutMs, HttpStreamListener listener) {
    HttpExchange exchange = new HttpExchange(this, call, listener);
    exchange.startTimeout(bootstrap.config().group().next(), timeoutMs);
    Optional<Channel> taken = takeIdle(call, exchange);
    if (taken.isEmpty()) {
      open(exchange, call);
      return exchange;
    }
    observer.reused();
    Channel reused = taken.get();
    // A write may fail at once, and the listener has to know its stream first.
    reused.eventLoop().execute(() -> exchange.begin(reused, true));
    return exchange;
  }

  private void open(HttpExchange exchange, HttpCall call) {
    ChannelFuture opening = bootstrap.connect(call.address());
    opening.addListener(
        done -> {
          if (done.isSuccess()) {
            observer.opened(call.reuse());
            exchange.begin(opening.channel(), false);
          } else {
            exchange.fail(notOpened(call.address(), done.cause()));
          }
        });
  }

  private static HttpFailure notOpened(InetSocketAddress address, Throwable cause) {
    return cause instanceof ConnectTimeoutException
        ? HttpFailure.notOpenedInTime(address)
        : new HttpFailure("cannot connect to " + address, false);
  }

  /**
   * Opens a connection and closes it again.
   *
   * @param address the server's address
   * @return completes exceptionally with an {@link HttpFailure} if the connection is not opened
   */
  @Override
  public CompletableFuture<Void> connect(InetSocketAddress address) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    ChannelFuture opening = bootstrap.connect(address);
    opening.addListener(
        done -> {
          opening.channel().close();
          if (done.isSuccess()) {
            observer.opened(ReusePolicy.NONE);
            result.complete(null);
          } else {
            result.completeExceptionally(notOpened(address, done.cause()));
          }
        });
    return result;
  }

  /**
   * Returns whether an idle connection to an address can be reused now.
   *
   * @param address the server's address
   * @param policy the policy of the call
   */
  public boolean canReuse(InetSocketAddress address, ReusePolicy policy) {
    IdleConnections<Channel> connections = idle.get(address);
    return connections != null && connections.has(policy, clock.millis());
  }

  private Optional<Channel> takeIdle(HttpCall call, HttpExchange exchange) {
    IdleConnections<Channel> connections = idle.get(call.address());
    if (connections == null) {
      return Optional.empty();
    }
    IdleConnections.Taken<Channel> taken =
        connections.take(call.reuse(), exchange::maySendOn, clock.millis());
    if (taken.passedOver() && taken.connection().isEmpty()) {
      observer.passedOver();
    }
    return taken.connection();
  }

  String echoedHeader() {
    return echoedHeader;
  }

  ConnectionObserver observer() {
    return observer;
  }

  /**
   * Adds an idle connection for reuse by later calls to its address.
   *
   * @param address the server's address
   * @param channel the connection
   * @param limitMs idle timeout stated by the server, in milliseconds; negative if none
   */
  void addIdle(InetSocketAddress address, Channel channel, long limitMs) {
    long now = clock.millis();
    if (idle.size() >= MAX_ADDRESSES) {
      idle.keySet()
          .forEach(a -> idle.computeIfPresent(a, (k, old) -> old.removeUnusable(now) ? null : old));
    }
    idle.compute(
        address,
        (a, old) -> {
          IdleConnections<Channel> connections =
              old == null ? new IdleConnections<>(Channel::isActive, Channel::close) : old;
          connections.add(channel, limitMs, now);
          return connections;
        });
  }

  /**
   * Closes the idle connections to an address, after a call on one of them got no response: the
   * others have probably ended with it.
   */
  void closeIdle(InetSocketAddress address) {
    IdleConnections<Channel> connections = idle.get(address);
    if (connections != null) {
      connections.closeAll();
    }
  }

  /** Collects the parts of one response. */
  private static final class Collector implements HttpStreamListener {

    private final CompletableFuture<HttpAnswer> result;
    private final HeldResponse body;
    private volatile HttpStream stream;
    private int status;
    private HttpHeaders headers;

    Collector(ResponseMemory memory, CompletableFuture<HttpAnswer> result) {
      this.result = result;
      this.body = new HeldResponse(memory, this::discard);
    }

    @Override
    public void started(int status, HttpHeaders headers) {
      this.status = status;
      this.headers = headers;
    }

    @Override
    public void received(byte[] part) {
      if (!body.add(part)) {
        discard();
      }
    }

    private void discard() {
      HttpStream open = stream;
      if (open != null) {
        open.cancel();
      }
      failed(new HttpFailure("no memory for the response", true));
    }

    @Override
    public void ended() {
      HttpAnswer answer = new HttpAnswer(status, headers, body.take());
      if (ResponseBody.isBrokenOff(headers, answer.body())) {
        failed(new HttpFailure("response ended inside a JSON document", true));
      } else {
        result.complete(answer);
      }
    }

    @Override
    public void failed(HttpFailure failure) {
      body.close();
      result.completeExceptionally(failure);
    }
  }
}
