package io.sequoiapass.daemon.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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

/**
 * Carries one HTTP request and its answer over one connection.
 *
 * <p>Safe for use by several threads: whoever first ends the exchange tells the listener.
 */
final class HttpExchange implements HttpStream {

  private final HttpClient client;
  private final HttpCall call;
  private final HttpStreamListener listener;
  private final AtomicBoolean over = new AtomicBoolean();
  private volatile Channel channel;
  private volatile boolean written;
  private volatile Future<?> limit;
  private boolean keepAlive = true;

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
    if (current != null) {
      current.close();
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
    keepAlive = keepConnection;
    if (!over.get()) {
      listener.started(status, headers);
    }
  }

  void part(byte[] bytes) {
    if (!over.get()) {
      listener.received(bytes);
    }
  }

  void end() {
    if (keepAlive) {
      channel.config().setAutoRead(true);
      client.keep(call.address(), channel);
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
      Channel current = channel;
      if (current != null) {
        current.close();
      }
    }
  }
}
