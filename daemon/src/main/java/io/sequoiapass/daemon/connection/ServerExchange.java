package io.sequoiapass.daemon.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Sends the response to one request of one server connection; thread-safe. */
final class ServerExchange implements HttpResponder {

  private final ChannelHandlerContext context;
  private final ClientPresence presence;
  private final Persistence persistence;
  private final HeldWrites writes = new HeldWrites();
  private volatile boolean closeAfterResponse;
  private final Runnable onEnded;
  private final Runnable closeAfterLast;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile Runnable onWritable = () -> {};
  private volatile Runnable onClose = () -> {};
  private volatile boolean closed;
  private volatile boolean begun;

  /** Decides whether the connection stays open after the response. */
  interface Persistence {

    /** Returns whether the connection stays open. */
    boolean isKept();

    /**
     * Runs an action once the connection has been read, if only a request that lies unread could
     * keep it open; else at once.
     */
    void decide(HeldWrites writes, Runnable action);

    /** Closes the connection. */
    Persistence CLOSE =
        new Persistence() {
          @Override
          public boolean isKept() {
            return false;
          }

          @Override
          public void decide(HeldWrites writes, Runnable action) {
            writes.run(action);
          }
        };
  }

  /**
   * Creates an exchange.
   *
   * @param context the connection
   * @param presence whether the client is still connected
   * @param persistence whether the connection stays open after the response
   * @param onEnded runs after a response on a connection that stays open
   * @param closeAfterLast closes the connection once the response has been written
   */
  ServerExchange(
      ChannelHandlerContext context,
      ClientPresence presence,
      Persistence persistence,
      Runnable onEnded,
      Runnable closeAfterLast) {
    this.context = context;
    this.presence = presence;
    this.persistence = persistence;
    this.onEnded = onEnded;
    this.closeAfterLast = closeAfterLast;
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    headers.forEach((name, value) -> response.headers().set(name, value));
    HttpUtil.setContentLength(response, body.length);
    finish(response);
  }

  @Override
  public void respond(int status, Map<String, String> headers, String json) {
    Map<String, String> typed = new LinkedHashMap<>(headers);
    typed.putIfAbsent(HttpHeaderNames.CONTENT_TYPE.toString(), "application/json");
    respond(status, typed, json.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void begin(int status, Map<String, String> headers) {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    headers.forEach((name, value) -> head.headers().set(name, value));
    HttpUtil.setTransferEncodingChunked(head, true);
    begun = true;
    persistence.decide(
        writes,
        () -> {
          setConnectionHeader(head);
          context.writeAndFlush(head);
        });
  }

  @Override
  public void write(byte[] part) {
    if (!ended.get()) {
      writes.run(() -> context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part))));
    }
  }

  @Override
  public void end() {
    finish(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  @Override
  public void abort() {
    if (ended.compareAndSet(false, true)) {
      context.close();
    }
  }

  /**
   * Ends the response after an exception, and what works on it.
   *
   * @param response sends the response if none has begun
   */
  void failed(Consumer<HttpResponder> response) {
    if (ended.get()) {
      return;
    }
    Runnable left = onClose;
    if (begun) {
      abort();
    } else {
      response.accept(this);
    }
    left.run();
  }

  private void finish(Object last) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    if (last instanceof HttpResponse head) {
      persistence.decide(
          writes,
          () -> {
            setConnectionHeader(head);
            writeLast(last);
          });
    } else {
      writes.run(() -> writeLast(last));
    }
  }

  private void writeLast(Object last) {
    var written = context.writeAndFlush(last);
    if (!closeAfterResponse) {
      context.executor().execute(onEnded);
    } else {
      written.addListener(done -> closeAfterLast.run());
    }
  }

  private void setConnectionHeader(HttpResponse head) {
    closeAfterResponse = !persistence.isKept();
    if (closeAfterResponse) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public ClientPresence presence() {
    return presence;
  }

  @Override
  public boolean writable() {
    return context.channel().isWritable();
  }

  @Override
  public void onWritable(Runnable action) {
    onWritable = action;
  }

  @Override
  public void onClose(Runnable action) {
    onClose = action;
    // The connection may have closed before the action was registered. Without this check the
    // disconnect would go unnoticed and the request's work would continue without a client.
    if (closed && !ended.get()) {
      action.run();
    }
  }

  void fireWritable() {
    onWritable.run();
  }

  void closed() {
    closed = true;
    if (!ended.get()) {
      onClose.run();
    }
  }
}
