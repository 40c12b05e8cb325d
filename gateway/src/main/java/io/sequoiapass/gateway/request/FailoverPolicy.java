package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.process.Choice;
import java.util.Optional;

/**
 * Decides whether a request fails over when its endpoint stops responding on an open connection.
 *
 * <pre>{@code
 * FailoverPolicy.Step step = FailoverPolicy.next(choice, from, budget.allows(now));
 * }</pre>
 *
 * <p>The endpoint may still recover, so the request moves only to an endpoint that can take it
 * immediately. The methods are pure.
 */
final class FailoverPolicy {

  /** The next step. */
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
   * @param choice what would be done with the request if this endpoint were excluded
   * @param from the endpoint that has stopped responding; empty if a peer has
   * @param mayRetry whether the retry budget allows another attempt
   */
  static Step next(Choice choice, Optional<EndpointId> from, boolean mayRetry) {
    if (!mayRetry) {
      return Step.STAY;
    }
    if (choice instanceof Choice.Send send) {
      return from.filter(send.candidate().endpoint()::equals).isPresent() ? Step.STAY : Step.MOVE;
    }
    return choice instanceof Choice.RequestLoad ? Step.LOAD : Step.STAY;
  }

  /**
   * Returns the next step while this daemon has no path to the endpoints.
   *
   * @param available whether a peer can take the request
   * @param mayRetry whether the retry budget allows another attempt
   */
  static Step throughPeer(boolean available, boolean mayRetry) {
    return available && mayRetry ? Step.MOVE : Step.STAY;
  }
}
