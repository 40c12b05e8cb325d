package io.sequoiapass.daemon.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.MillisClock;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentMap;

/**
 * Sends HTTP/1.1 requests over kept connections.
 *
 * <pre>{@code
 * HttpClient client = HttpClient.create(group, 500);
 * client.send(HttpCall.to(address, "GET", "/v1/state"), 1_000).thenAccept(answer -> ...);
 * }</pre>
 *
 * <p>Safe for use by several threads. Listeners are called on event loops and must not block.
 */
public final class HttpClient {

  /** Kept idle connections to one address; more are closed after use. */
  private static final int MAX_IDLE = 32;

  private final Bootstrap bootstrap;
  private final String echoedHeader;
  private final ConcurrentMap<InetSocketAddress, Deque<KeptConnection>> idle =
      new ConcurrentHashMap<>();
  private final MillisClock clock = MillisClock.monotonic();

  private HttpClient(Bootstrap bootstrap, String echoedHeader) {
    this.bootstrap = bootstrap;
    this.echoedHeader = echoedHeader;
  }

  /**
   * Returns a client.
   *
   * @param group the event loops to run on
   * @param connectTimeoutMs how long a connection may take to open, in milliseconds
   */
  public static HttpClient create(EventLoopGroup group, int connectTimeoutMs) {
    return create(group, connectTimeoutMs, null);
  }

  /**
   * Returns a client of servers that repeat a header of the request in its answer. An answer that
   * repeats another value belongs to another request, such as a late second answer to the one
   * before; it is passed over, since taking it would give one caller the answer of another.
   *
   * @param group the event loops to run on
   * @param connectTimeoutMs how long a connection may take to open, in milliseconds
   * @param echoedHeader the name of the header; null if servers repeat none
   */
  public static HttpClient create(EventLoopGroup group, int connectTimeoutMs, String echoedHeader) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(SocketTransport.of(group).client())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpClientCodec());
                    channel.pipeline().addLast(new HttpClientHandler());
                  }
                });
    return new HttpClient(bootstrap, echoedHeader);
  }

  /**
   * Sends a call and collects its answer.
   *
   * @param call what to send
   * @param timeoutMs how long the whole exchange may take, in milliseconds
   * @return the answer; ends with an {@link HttpFailure} as its cause when there is none
   */
  public CompletableFuture<HttpAnswer> send(HttpCall call, long timeoutMs) {
    CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    stream(call, timeoutMs, new Collector(result));
    return result;
  }

  /**
   * Sends a call and hands on its answer part by part.
   *
   * @param call what to send
   * @param timeoutMs how long the whole exchange may take, in milliseconds
   * @param listener what receives the answer
   */
  public HttpStream stream(HttpCall call, long timeoutMs, HttpStreamListener listener) {
    HttpExchange exchange = new HttpExchange(this, call, listener);
    exchange.limit(bootstrap.config().group().next(), timeoutMs);
    Channel kept = takeIdle(call);
    if (kept == null) {
      open(exchange, call.address());
    } else if (kept.eventLoop().inEventLoop()) {
      exchange.begin(kept);
    } else {
      kept.eventLoop().execute(() -> exchange.begin(kept));
    }
    return exchange;
  }

  private void open(HttpExchange exchange, InetSocketAddress address) {
    ChannelFuture opening = bootstrap.connect(address);
    opening.addListener(
        done -> {
          if (done.isSuccess()) {
            exchange.begin(opening.channel());
          } else {
            exchange.fail(new HttpFailure("cannot connect to " + address, false));
          }
        });
  }

  private Channel takeIdle(HttpCall call) {
    Deque<KeptConnection> kept = idle.get(call.address());
    if (kept == null) {
      return null;
    }
    long now = clock.millis();
    for (KeptConnection next = kept.pollLast(); next != null; next = kept.pollLast()) {
      if (next.channel().isActive() && call.reuse().allows(now - next.since(), next.limitMs())) {
        return next.channel();
      }
      next.channel().close();
    }
    return null;
  }

  String echoedHeader() {
    return echoedHeader;
  }

  /**
   * Keeps a connection for the next call to its address.
   *
   * @param address the server's address
   * @param channel the connection
   * @param limitMs how long the server said it keeps the connection, in milliseconds; negative if
   *     it did not say
   */
  void keep(InetSocketAddress address, Channel channel, long limitMs) {
    Deque<KeptConnection> kept = idle.computeIfAbsent(address, a -> new ConcurrentLinkedDeque<>());
    if (kept.size() >= MAX_IDLE) {
      channel.close();
    } else {
      kept.addLast(new KeptConnection(channel, clock.millis(), limitMs));
    }
  }

  private record KeptConnection(Channel channel, long since, long limitMs) {}

  /** Collects the parts of one answer. */
  private static final class Collector implements HttpStreamListener {

    private final CompletableFuture<HttpAnswer> result;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private HttpHeaders headers;

    Collector(CompletableFuture<HttpAnswer> result) {
      this.result = result;
    }

    @Override
    public void started(int status, HttpHeaders headers) {
      this.status = status;
      this.headers = headers;
    }

    @Override
    public void received(byte[] part) {
      body.writeBytes(part);
    }

    @Override
    public void ended() {
      result.complete(new HttpAnswer(status, headers, body.toByteArray()));
    }

    @Override
    public void failed(HttpFailure failure) {
      result.completeExceptionally(failure);
    }
  }
}
