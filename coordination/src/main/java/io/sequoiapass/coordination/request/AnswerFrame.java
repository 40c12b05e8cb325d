package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.util.Optional;

/**
 * A frame of an answer as received by the entry daemon.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface AnswerFrame {

  /** Returns the request named by the sender. */
  RequestId request();

  /** Returns the attempt named by the sender. */
  int attempt();

  /** Returns the adapter version named by the sender; empty for a plain service. */
  Optional<AdapterVersion> ranOn();

  /**
   * A token, or a part of the body of a plain service.
   *
   * @param request the request
   * @param attempt the attempt
   * @param ranOn adapter and version, or empty
   * @param index zero-based index in the complete answer, across all attempts
   * @param text the text
   */
  record Token(
      RequestId request, int attempt, Optional<AdapterVersion> ranOn, int index, String text)
      implements AnswerFrame {}

  /**
   * The end of a complete answer.
   *
   * @param request the request
   * @param attempt the attempt
   * @param ranOn adapter and version, or empty
   * @param tokens the length of the complete answer, across all attempts
   */
  record Finished(RequestId request, int attempt, Optional<AdapterVersion> ranOn, int tokens)
      implements AnswerFrame {}
}
