package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.process.Choice;

/**
 * Decides what a request does whose endpoint has stopped responding on an open connection.
 *
 * <pre>{@code
 * FailoverPolicy.Step step = FailoverPolicy.next(choice, from, budget.allows(now));
 * }</pre>
 *
 * <p>The endpoint may still go on, so the request leaves it only for one that can take it at once.
 * The methods are pure.
 */
final class FailoverPolicy {

  /** What to do. */
  enum Step {
    /** Cancel the attempt and send the request to the other endpoint. */
    MOVE,
    /** Stay, and have the adapter loaded at another endpoint. */
    LOAD,
    /** Stay. */
    STAY
  }

  private FailoverPolicy() {}

  /**
   * Returns the next step.
   *
   * @param choice what would be done with the request without this endpoint
   * @param from the endpoint that has stopped responding
   * @param mayRetry whether the retry budget allows another attempt
   */
  static Step next(Choice choice, EndpointId from, boolean mayRetry) {
    if (!mayRetry) {
      return Step.STAY;
    }
    if (choice instanceof Choice.Send send) {
      return send.candidate().endpoint().equals(from) ? Step.STAY : Step.MOVE;
    }
    return choice instanceof Choice.RequestLoad ? Step.LOAD : Step.STAY;
  }
}
