package io.sequoiapass.daemon.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Sends one HTTP request over one connection and receives its response.
 *
 * <p>Thread-safe: only the first of completion, failure and cancellation takes effect, so the
 * listener receives at most one final event.
 */
final class HttpExchange implements HttpStream {

  private static final long NO_KEEP_ALIVE_LIMIT = -1;

  /** Most reads of the client's connection before a call, so that busy loops make progress. */
  private static final int MAX_CLIENT_READS = 3;

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

  private final HttpClient client;
  private final HttpCall call;
  private final HttpStreamListener listener;
  private final AtomicBoolean completed = new AtomicBoolean();
  private volatile Channel channel;
  private volatile boolean written;
  private volatile Future<?> timeoutTask;
  private volatile boolean flushed;
  private volatile boolean reused;
  private volatile boolean answered;
  private volatile boolean paused;
  private int clientReads;
  private boolean keepAlive = true;
  private boolean notReusable;
  private long bodyBytes;
  private long keepAliveMs = NO_KEEP_ALIVE_LIMIT;

  HttpExchange(HttpClient client, HttpCall call, HttpStreamListener listener) {
    this.client = client;
    this.call = call;
    this.listener = listener;
  }

  void startTimeout(io.netty.channel.EventLoopGroup group, long timeoutMs) {
    EventLoop loop = (EventLoop) group.next();
    timeoutTask = loop.schedule(this::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
  }

  private void onTimeout() {
    Channel current = channel;
    closeOthersIfUnanswered();
    fail(HttpFailure.timedOut(call, written));
    abandon(current);
  }

  /**
   * Closes the connection of a cancelled or timed out call, with a reset if the call requires it.
   */
  private void abandon(Channel connection) {
    if (connection != null) {
      if (call.resetsIfAbandoned()) {
        connection.config().setOption(ChannelOption.SO_LINGER, 0);
      }
      connection.close();
    }
  }

  /** Closes the other idle connections if the server has ignored this one. */
  private void closeOthersIfUnanswered() {
    if (reused && !answered && !completed.get()) {
      client.closeIdle(call.address());
    }
  }

  /**
   * Sends the request.
   *
   * @param opened the connection
   * @param wasIdle whether it carried an earlier call
   */
  void begin(Channel opened, boolean wasIdle) {
    channel = opened;
    reused = wasIdle;
    if (completed.get()) {
      opened.close();
      return;
    }
    if (clientReads < MAX_CLIENT_READS && !call.client().isRecent()) {
      clientReads++;
      call.client().afterNextRead(() -> opened.eventLoop().execute(() -> begin(opened, wasIdle)));
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
    answered = true;
    keepAlive = keepConnection;
    keepAliveMs = keepAliveLimitMs(headers);
    if (!completed.get()) {
      listener.started(status, headers);
    }
  }

  void part(byte[] bytes) {
    if (completed.get()) {
      return;
    }
    bodyBytes += bytes.length;
    if (bodyBytes > call.maxBodyBytes()) {
      fail(new HttpFailure("response exceeds " + call.maxBodyBytes() + " bytes: " + call, true));
      abandon(channel);
    } else {
      listener.received(bytes);
    }
  }

  private static long keepAliveLimitMs(HttpHeaders headers) {
    String stated = headers.get(KEEP_ALIVE);
    Matcher seconds = stated == null ? null : KEEP_ALIVE_SECONDS.matcher(stated);
    return seconds != null && seconds.find()
        ? TimeUnit.SECONDS.toMillis(Long.parseLong(seconds.group(1)))
        : NO_KEEP_ALIVE_LIMIT;
  }

  /**
   * Completes the exchange. A server may respond before it has read a long request body; the rest
   * of that body would be read as the next request, so such a connection is not reused.
   */
  void end() {
    if (keepAlive && flushed && !notReusable) {
      channel.config().setAutoRead(true);
      client.addIdle(call.address(), channel, keepAliveMs);
    } else {
      channel.close();
    }
    if (completed.compareAndSet(false, true)) {
      cancelTimeout();
      listener.ended();
    }
  }

  void fail(HttpFailure failure) {
    if (completed.compareAndSet(false, true)) {
      cancelTimeout();
      listener.failed(failure);
    }
  }

  /** Returns the id of the request, which the server echoes; empty if there is none. */
  Optional<String> requestId() {
    String name = client.echoedHeader();
    return name == null ? Optional.empty() : call.header(name);
  }

  /**
   * Returns whether an idle connection may carry the call: one that has not carried its request. A
   * response to a call without an id could not be told from a copy there.
   */
  boolean maySendOn(Channel connection) {
    HttpClientHandler handler = connection.pipeline().get(HttpClientHandler.class);
    if (handler == null || client.echoedHeader() == null) {
      return handler != null;
    }
    return requestId().filter(id -> !id.isEmpty() && !handler.hasCarried(id)).isPresent();
  }

  /**
   * Returns whether a response is the one to this call.
   *
   * <p>A response that names no request is accepted on a new connection. As it may be copied, its
   * connection is not reused. A response to another request shows that the server sends some twice.
   *
   * @param headers the headers of the response
   */
  boolean accepts(HttpHeaders headers) {
    if (client.echoedHeader() == null) {
      return true;
    }
    String echoed = headers.get(client.echoedHeader(), "");
    if (echoed.isEmpty()) {
      notReusable = true;
      client.observer().unattributed();
      return true;
    }
    boolean isOwn = isNamedIn(headers);
    if (!isOwn) {
      stray(StrayResponse.TO_ANOTHER_REQUEST);
    }
    return isOwn;
  }

  /**
   * Returns whether a response that names no request may be a late copy: the connection has carried
   * other requests.
   *
   * @param headers the headers of the response
   */
  boolean mayBeCopy(HttpHeaders headers) {
    String echoed = client.echoedHeader();
    return reused && echoed != null && headers.get(echoed, "").isEmpty();
  }

  /** Returns whether the request has a body. */
  boolean hasBody() {
    return call.body().length > 0;
  }

  /** Returns whether all of the request was passed to the socket. */
  boolean isFlushed() {
    return flushed;
  }

  boolean isHead() {
    return HttpMethod.HEAD.name().equals(call.method());
  }

  /** Returns whether a response may be the one to this call by the request that it names. */
  boolean isNamedIn(HttpHeaders headers) {
    String name = client.echoedHeader();
    String echoed = name == null ? "" : headers.get(name, "");
    return echoed.isEmpty() || requestId().filter(echoed::equals).isPresent();
  }

  /** Returns whether a header of a response repeats the id of the request. */
  boolean isOwnId(Map.Entry<String, String> header) {
    return header.getKey().equalsIgnoreCase(client.echoedHeader())
        && requestId().filter(header.getValue()::equals).isPresent();
  }

  /** Records what the server has sent that no request has asked for. */
  void stray(StrayResponse response) {
    notReusable = true;
    client.observer().stray(call.address(), response);
  }

  /** Excludes the connection from reuse. */
  void markNotReusable() {
    notReusable = true;
  }

  /**
   * Fails the exchange because its connection has ended.
   *
   * @param end how it ended
   */
  void closed(String end) {
    closeOthersIfUnanswered();
    fail(new HttpFailure(end + " before the response was complete: " + call, written));
  }

  private void cancelTimeout() {
    Future<?> pending = timeoutTask;
    if (pending != null) {
      pending.cancel(false);
    }
  }

  @Override
  public void pause() {
    paused = true;
    applyPause();
  }

  @Override
  public void resume() {
    paused = false;
    applyPause();
  }

  /**
   * Starts or stops reading on the connection's event loop: a transport may stop it there later
   * than it was started again by another thread.
   */
  private void applyPause() {
    Channel current = channel;
    if (current == null) {
      return;
    }
    if (!current.eventLoop().inEventLoop()) {
      current.eventLoop().execute(this::applyPause);
    } else if (!completed.get()) {
      current.config().setAutoRead(!paused);
    }
  }

  @Override
  public long unsentBytes() {
    Channel current = channel;
    ChannelOutboundBuffer unsent = current == null ? null : current.unsafe().outboundBuffer();
    return unsent == null ? 0 : unsent.totalPendingWriteBytes();
  }

  @Override
  public void cancel() {
    if (completed.compareAndSet(false, true)) {
      cancelTimeout();
      abandon(channel);
    }
  }
}
