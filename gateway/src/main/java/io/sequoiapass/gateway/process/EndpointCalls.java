package io.sequoiapass.gateway.process;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.spi.EndpointOrder;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

/**
 * Sends a coordinator's calls to endpoints; their failures show a lost path, too. Safe for use by
 * several threads.
 */
final class EndpointCalls {

  /** Largest report of an endpoint, or answer to an order, in bytes. */
  static final int MAX_ANSWER_BYTES = 256 << 10;

  private final HttpClient orders;
  private final HttpClient reports;
  private final Predicate<InetSocketAddress> copies;
  private final PathMonitor path;

  /**
   * Creates a client. Answers to orders and reports name no call, so the two use connections of
   * their own: a late copy of a report would be taken for an order that is done.
   *
   * @param orders sends orders
   * @param reports requests reports, over other connections
   * @param copies whether an endpoint sends responses twice
   * @param path notified of what the calls show
   */
  EndpointCalls(
      HttpClient orders,
      HttpClient reports,
      Predicate<InetSocketAddress> copies,
      PathMonitor path) {
    this.copies = copies;
    this.orders = orders;
    this.reports = reports;
    this.path = path;
  }

  /**
   * Sends an order.
   *
   * <p>Where the endpoint sends responses twice, an unload gets a connection of its own. A copy of
   * an earlier unload's answer would free the slot of an adapter that still runs, and the next load
   * would crash the endpoint. After any other answer that is taken for the wrong order, the
   * endpoint refuses the next order by its number.
   *
   * @param order the order
   * @param call the call
   * @param timeoutMs maximum time until the answer is complete, in milliseconds
   */
  CompletableFuture<HttpAnswer> order(EndpointOrder order, HttpCall call, long timeoutMs) {
    HttpCall alone =
        order.type() == EndpointOrder.Type.UNLOAD && copies.test(order.address())
            ? call.reuse(ReusePolicy.NONE)
                .header(HttpHeaderNames.CONNECTION.toString(), HttpHeaderValues.CLOSE.toString())
            : call;
    return send(orders, alone, timeoutMs);
  }

  /**
   * Requests a report.
   *
   * @param call the call
   * @param timeoutMs maximum time until the answer is complete, in milliseconds
   */
  CompletableFuture<HttpAnswer> report(HttpCall call, long timeoutMs) {
    return send(reports, call, timeoutMs);
  }

  private CompletableFuture<HttpAnswer> send(HttpClient http, HttpCall call, long timeoutMs) {
    path.sent();
    return http.send(call.maxBodyBytes(MAX_ANSWER_BYTES), timeoutMs)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                path.received();
              } else if (failure instanceof HttpFailure lost && !lost.mayHaveReached()) {
                path.connectionFailed();
              }
            });
  }
}
