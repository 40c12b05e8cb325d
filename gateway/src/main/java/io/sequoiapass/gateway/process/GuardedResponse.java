package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.ClientPresence;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.request.CallerExchange;
import io.sequoiapass.gateway.request.ErrorFormat;
import io.sequoiapass.gateway.request.RelayContext;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The response to one request, which ends even if an exception ends the request's work without it:
 * in a timer, or while the answer of an endpoint or a peer is handled.
 *
 * <p>Safe for use by several threads.
 */
final class GuardedResponse implements HttpResponder {

  /** Time after the deadline, at which the request ends by itself, in milliseconds. */
  private static final long OVERDUE_MS = 2_000;

  private final RelayContext context;
  private final CallerExchange exchange;
  private final HttpResponder responder;
  private final TaskGuard guard;
  private final Runnable onReleased;
  private final AtomicBoolean released = new AtomicBoolean();
  private volatile Future<?> overdue;
  private volatile boolean begun;
  private volatile boolean ended;

  /**
   * Creates a response.
   *
   * @param context the dependencies that all requests share
   * @param exchange the request and its responder
   * @param guard records errors
   * @param onReleased runs once when the request has ended
   */
  GuardedResponse(
      RelayContext context, CallerExchange exchange, TaskGuard guard, Runnable onReleased) {
    this.context = context;
    this.exchange = exchange;
    this.responder = exchange.responder();
    this.guard = guard;
    this.onReleased = onReleased;
  }

  /** Returns the exchange of the request with this responder. */
  CallerExchange exchange() {
    return new CallerExchange(
        exchange.request(), exchange.facts(), exchange.access(), exchange.origin(), this);
  }

  /**
   * Watches the request.
   *
   * @param lock the lock under which the request ends and responds
   */
  void watch(Object lock) {
    long leftMs = exchange.origin().deadlineAt() - context.clock().millis();
    overdue =
        context
            .loop()
            .schedule(() -> check(lock), Math.max(0, leftMs + OVERDUE_MS), TimeUnit.MILLISECONDS);
  }

  /** Records that the request has ended; its response has to follow under the same lock. */
  void finished(Object lock) {
    release();
    context.loop().execute(() -> check(lock));
  }

  /** Ends the watch. */
  void release() {
    if (released.compareAndSet(false, true)) {
      Future<?> timer = overdue;
      if (timer != null) {
        timer.cancel(false);
      }
      onReleased.run();
    }
  }

  private void check(Object lock) {
    synchronized (lock) {
      if (ended) {
        return;
      }
    }
    guard.failed("response", new IllegalStateException("request without a response"));
    if (!guard.run("response", this::fail)) {
      abort();
    }
    release();
  }

  /** A peer takes an error that it cannot read for its own; a connection that ends it does not. */
  private void fail() {
    if (begun || exchange.origin().errors() == ErrorFormat.PEER) {
      abort();
    } else {
      ErrorFormat.CALLER.send(
          context.callers(), exchange.facts(), this, ErrorKind.INTERNAL, OptionalLong.empty());
    }
  }

  @Override
  public void respond(int status, Map<String, String> headers, byte[] body) {
    responder.respond(status, headers, body);
    ended = true;
  }

  @Override
  public void respond(int status, Map<String, String> headers, String json) {
    responder.respond(status, headers, json);
    ended = true;
  }

  @Override
  public void begin(int status, Map<String, String> headers) {
    responder.begin(status, headers);
    begun = true;
  }

  @Override
  public void write(byte[] part) {
    responder.write(part);
  }

  @Override
  public void end() {
    responder.end();
    ended = true;
  }

  @Override
  public void abort() {
    responder.abort();
    ended = true;
  }

  @Override
  public ClientPresence presence() {
    return responder.presence();
  }

  @Override
  public boolean writable() {
    return responder.writable();
  }

  @Override
  public void onWritable(Runnable action) {
    responder.onWritable(action);
  }

  @Override
  public void onClose(Runnable action) {
    responder.onClose(
        () -> {
          ended = true;
          action.run();
        });
  }
}
