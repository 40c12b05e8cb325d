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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
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
public final class HttpClient {

  /** Maximum idle connections per address; further connections are closed after use. */
  private static final int MAX_IDLE_PER_ADDRESS = 32;

  private final Bootstrap bootstrap;
  private final String echoedHeader;
  private final ConcurrentMap<InetSocketAddress, Deque<IdleConnection>> idle =
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
   * @param connectTimeoutMs maximum time to open a connection, in milliseconds
   */
  public static HttpClient create(EventLoopGroup group, int connectTimeoutMs) {
    return create(group, connectTimeoutMs, null);
  }

  /**
   * Returns a client for servers that echo a request header in the response. A response that echoes
   * another value belongs to another request, such as a late duplicate response to the previous
   * one. It is discarded, since accepting it would deliver one caller's response to another.
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
   * Returns a client with the same settings whose connections come from one address of this host.
   *
   * @param source the address
   */
  public HttpClient from(InetAddress source) {
    return new HttpClient(
        bootstrap.clone().localAddress(new InetSocketAddress(source, 0)), echoedHeader);
  }

  /**
   * Sends a call and collects its response.
   *
   * @param call the request
   * @param timeoutMs maximum time until the response is complete, in milliseconds
   * @return the response; completes exceptionally with an {@link HttpFailure} if there is no
   *     complete response
   */
  public CompletableFuture<HttpAnswer> send(HttpCall call, long timeoutMs) {
    CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    stream(call, timeoutMs, new Collector(result));
    return result;
  }

  /**
   * Sends a call and passes its response to a listener part by part.
   *
   * @param call the request
   * @param timeoutMs maximum time until the response is complete, in milliseconds
   * @param listener receives the response
   */
  public HttpStream stream(HttpCall call, long timeoutMs, HttpStreamListener listener) {
    HttpExchange exchange = new HttpExchange(this, call, listener);
    exchange.startTimeout(bootstrap.config().group().next(), timeoutMs);
    Channel reused = takeIdle(call);
    if (reused == null) {
      open(exchange, call.address());
    } else if (reused.eventLoop().inEventLoop()) {
      exchange.begin(reused);
    } else {
      reused.eventLoop().execute(() -> exchange.begin(reused));
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

  /**
   * Opens a connection and closes it again.
   *
   * @param address the server's address
   * @return whether the connection could be opened
   */
  public CompletableFuture<Boolean> canConnect(InetSocketAddress address) {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    ChannelFuture opening = bootstrap.connect(address);
    opening.addListener(
        done -> {
          opening.channel().close();
          result.complete(done.isSuccess());
        });
    return result;
  }

  private Channel takeIdle(HttpCall call) {
    Deque<IdleConnection> connections = idle.get(call.address());
    if (connections == null || call.reuse() == ReusePolicy.NONE) {
      return null;
    }
    long now = clock.millis();
    for (IdleConnection next = connections.pollLast();
        next != null;
        next = connections.pollLast()) {
      if (next.channel().isActive()
          && call.reuse().allows(now - next.idleSince(), next.limitMs())) {
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
   * Adds an idle connection for reuse by later calls to its address.
   *
   * @param address the server's address
   * @param channel the connection
   * @param limitMs idle timeout stated by the server, in milliseconds; negative if none
   */
  void addIdle(InetSocketAddress address, Channel channel, long limitMs) {
    Deque<IdleConnection> connections =
        idle.computeIfAbsent(address, a -> new ConcurrentLinkedDeque<>());
    if (connections.size() >= MAX_IDLE_PER_ADDRESS) {
      channel.close();
    } else {
      connections.addLast(new IdleConnection(channel, clock.millis(), limitMs));
    }
  }

  private record IdleConnection(Channel channel, long idleSince, long limitMs) {}

  /** Collects the parts of one response. */
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
      HttpAnswer answer = new HttpAnswer(status, headers, body.toByteArray());
      if (ResponseBody.isBrokenOff(headers, answer.body())) {
        failed(new HttpFailure("response ended inside a JSON document", true));
      } else {
        result.complete(answer);
      }
    }

    @Override
    public void failed(HttpFailure failure) {
      result.completeExceptionally(failure);
    }
  }
}
