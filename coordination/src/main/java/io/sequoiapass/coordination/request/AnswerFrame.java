package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.util.Optional;

/**
 * Is one frame of an answer, as it reaches the entry.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface AnswerFrame {

  /** Returns the request that the sender says it answers. */
  RequestId request();

  /** Returns the attempt that the sender says it answers. */
  int attempt();

  /** Returns what the sender says it ran on; empty for a plain service. */
  Optional<AdapterVersion> ranOn();

  /**
   * One token, or one part of a plain service's body.
   *
   * @param request the request
   * @param attempt the attempt
   * @param ranOn adapter and version, or empty
   * @param index the place in the whole answer, from zero, over all attempts
   * @param text the text
   */
  record Token(
      RequestId request, int attempt, Optional<AdapterVersion> ranOn, int index, String text)
      implements AnswerFrame {}

  /**
   * The end of a whole answer.
   *
   * @param request the request
   * @param attempt the attempt
   * @param ranOn adapter and version, or empty
   * @param tokens the length of the whole answer, over all attempts
   */
  record Finished(RequestId request, int attempt, Optional<AdapterVersion> ranOn, int tokens)
      implements AnswerFrame {}
}
