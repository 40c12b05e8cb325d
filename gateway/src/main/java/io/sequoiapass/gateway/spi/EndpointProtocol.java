package io.sequoiapass.gateway.spi;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/** The names that endpoints speak; implementations are safe for use by several threads. */
public interface EndpointProtocol {

  /** Returns the header that endpoints repeat in their answers. */
  String echoedHeader();

  /**
   * Returns the headers of a caller's request as they go to an endpoint.
   *
   * @param callerHeaders what the caller sent
   * @param terms what is added to the caller's request
   */
  Map<String, String> forwardHeaders(HttpHeaders callerHeaders, ForwardTerms terms);

  /**
   * Returns what the beginning of an answer proves.
   *
   * @param status the status
   * @param headers the headers
   */
  AnswerClass classify(int status, HttpHeaders headers);

  /**
   * Returns the headers of an endpoint's answer as they go to the caller.
   *
   * @param headers what the endpoint sent
   */
  Map<String, String> answerHeaders(HttpHeaders headers);

  /**
   * Returns the call that gives an order.
   *
   * @param order the order
   */
  HttpCall orderCall(EndpointOrder order);

  /**
   * Returns what an endpoint made of an order.
   *
   * @param answer its answer
   */
  OrderResult orderResult(HttpAnswer answer);

  /**
   * Returns the call that asks an endpoint about itself.
   *
   * @param endpoint the endpoint that is meant; any other refuses
   * @param address where it listens
   */
  HttpCall reportCall(EndpointId endpoint, InetSocketAddress address);

  /**
   * Reads what an endpoint says of itself; empty if the answer cannot be read.
   *
   * @param answer its answer
   */
  Optional<EndpointReport> report(HttpAnswer answer);
}
