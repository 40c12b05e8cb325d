package io.sequoiapass.gateway.spi;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

/** The wire protocol of the endpoints; implementations are safe for use by several threads. */
public interface EndpointProtocol {

  /** Returns the header that endpoints repeat in their answers. */
  String echoedHeader();

  /**
   * Returns the headers with which a caller's request is sent to an endpoint.
   *
   * @param callerHeaders what the caller sent
   * @param terms what is sent in addition to the caller's request
   */
  Map<String, String> forwardHeaders(HttpHeaders callerHeaders, ForwardTerms terms);

  /**
   * Classifies an answer by its status and headers.
   *
   * @param status the status
   * @param headers the headers
   */
  AnswerClass classify(int status, HttpHeaders headers);

  /**
   * Returns what an answer states about its endpoint.
   *
   * @param status the status
   * @param headers the headers
   */
  EndpointNotice notice(int status, HttpHeaders headers);

  /**
   * Returns the headers with which an endpoint's answer is sent to the caller.
   *
   * @param headers what the endpoint sent
   */
  Map<String, String> answerHeaders(HttpHeaders headers);

  /**
   * Returns the call that sends an order.
   *
   * @param order the order
   */
  HttpCall orderCall(EndpointOrder order);

  /**
   * Returns the result of an order.
   *
   * @param answer its answer
   */
  OrderResult orderResult(HttpAnswer answer);

  /**
   * Returns the call that requests an endpoint's report.
   *
   * @param endpoint the addressed endpoint; any other rejects the call
   * @param address where it listens
   */
  HttpCall reportCall(EndpointId endpoint, InetSocketAddress address);

  /**
   * Decodes an endpoint's report; empty if the answer is malformed.
   *
   * @param answer its answer
   */
  Optional<EndpointReport> report(HttpAnswer answer);
}
