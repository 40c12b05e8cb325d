package io.sequoiapass.daemon.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Carries one HTTP request and its answer over one connection.
 *
 * <p>Safe for use by several threads: whoever first ends the exchange tells the listener.
 */
final class HttpExchange implements HttpStream {

  private static final long UNSTATED = -1;
  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

  private final HttpClient client;
  private final HttpCall call;
  private final HttpStreamListener listener;
  private final AtomicBoolean over = new AtomicBoolean();
  private volatile Channel channel;
  private volatile boolean written;
  private volatile Future<?> limit;
  private volatile boolean flushed;
  private boolean keepAlive = true;
  private boolean tainted;
  private long keepAliveMs = UNSTATED;

  HttpExchange(HttpClient client, HttpCall call, HttpStreamListener listener) {
    this.client = client;
    this.call = call;
    this.listener = listener;
  }

  void limit(io.netty.channel.EventLoopGroup group, long timeoutMs) {
    EventLoop loop = (EventLoop) group.next();
    limit = loop.schedule(this::timeout, timeoutMs, TimeUnit.MILLISECONDS);
  }

  private void timeout() {
    Channel current = channel;
    fail(new HttpFailure("no whole answer in time: " + call, written));
    abandon(current);
  }

  /** Closes a connection whose answer nobody waits for, by a reset where the call asks for it. */
  private void abandon(Channel connection) {
    if (connection != null) {
      if (call.resetsIfAbandoned()) {
        connection.config().setOption(ChannelOption.SO_LINGER, 0);
      }
      connection.close();
    }
  }

  void begin(Channel opened) {
    channel = opened;
    if (over.get()) {
      opened.close();
      return;
    }
    if (!opened.isActive()) {
      fail(new HttpFailure("connection closed before the request: " + call, false));
      return;
    }
    opened.pipeline().get(HttpClientHandler.class).expect(this);
    written = true;
    opened
        .writeAndFlush(request())
        .addListener(
            done -> {
              flushed = done.isSuccess();
              if (!done.isSuccess()) {
                fail(new HttpFailure("cannot write the request: " + call, true));
                opened.close();
              }
            });
  }

  private FullHttpRequest request() {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.path(),
            Unpooled.wrappedBuffer(call.body()));
    request.headers().set(HttpHeaderNames.HOST, call.address().getHostString());
    call.headers().forEach((name, value) -> request.headers().set(name, value));
    HttpUtil.setContentLength(request, call.body().length);
    return request;
  }

  void head(int status, HttpHeaders headers, boolean keepConnection) {
    keepAlive = keepConnection && !tainted;
    keepAliveMs = statedLimitMs(headers);
    if (!over.get()) {
      listener.started(status, headers);
    }
  }

  void part(byte[] bytes) {
    if (!over.get()) {
      listener.received(bytes);
    }
  }

  private static long statedLimitMs(HttpHeaders headers) {
    String stated = headers.get(KEEP_ALIVE);
    Matcher seconds = stated == null ? null : KEEP_ALIVE_SECONDS.matcher(stated);
    return seconds != null && seconds.find()
        ? TimeUnit.SECONDS.toMillis(Long.parseLong(seconds.group(1)))
        : UNSTATED;
  }

  /**
   * Ends the exchange with a whole answer. A server may answer before it has read a long body; the
   * rest of that body would be read as the next request, so such a connection is not kept.
   */
  void end() {
    if (keepAlive && flushed) {
      channel.config().setAutoRead(true);
      client.keep(call.address(), channel, keepAliveMs);
    } else {
      channel.close();
    }
    if (over.compareAndSet(false, true)) {
      cancelLimit();
      listener.ended();
    }
  }

  void fail(HttpFailure failure) {
    if (over.compareAndSet(false, true)) {
      cancelLimit();
      listener.failed(failure);
    }
  }

  /** Tells whether an answer is for this call, where servers repeat a header of the request. */
  boolean isMine(HttpHeaders headers) {
    String name = client.echoedHeader();
    String sent = name == null ? null : call.headers().get(name);
    String echoed = sent == null ? null : headers.get(name);
    return echoed == null || echoed.equals(sent);
  }

  /** Notes that the connection carried an answer to another request; it is not kept any more. */
  void tainted() {
    tainted = true;
  }

  void closed() {
    fail(new HttpFailure("connection closed before the answer was whole: " + call, written));
  }

  private void cancelLimit() {
    Future<?> pending = limit;
    if (pending != null) {
      pending.cancel(false);
    }
  }

  @Override
  public void pause() {
    Channel current = channel;
    if (current != null && !over.get()) {
      current.config().setAutoRead(false);
    }
  }

  @Override
  public void resume() {
    Channel current = channel;
    if (current != null) {
      current.config().setAutoRead(true);
    }
  }

  @Override
  public void cancel() {
    if (over.compareAndSet(false, true)) {
      cancelLimit();
      abandon(channel);
    }
  }
}
