package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.process.Choice;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decides whether a request fails over when its endpoint stops responding on an open connection.
 *
 * <pre>{@code
 * FailoverPolicy.Step step = FailoverPolicy.next(choice, from, () -> budget.allows(now));
 * }</pre>
 *
 * <p>The endpoint may still recover, so the request moves only to an endpoint that can take it
 * immediately. The methods have no effects of their own.
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
   * @param mayRetry whether the retry budget allows another attempt; asked only if one is wanted
   */
  static Step next(Choice choice, Optional<EndpointId> from, BooleanSupplier mayRetry) {
    Step wanted = Step.STAY;
    if (choice instanceof Choice.Send send) {
      boolean isSame = from.filter(send.candidate().endpoint()::equals).isPresent();
      wanted = isSame ? Step.STAY : Step.MOVE;
    } else if (choice instanceof Choice.RequestLoad) {
      wanted = Step.LOAD;
    }
    return wanted != Step.STAY && mayRetry.getAsBoolean() ? wanted : Step.STAY;
  }

  /**
   * Returns the next step while this daemon has no path to the endpoints.
   *
   * @param available whether a peer can take the request
   * @param mayRetry whether the retry budget allows another attempt; asked only if one is wanted
   */
  static Step throughPeer(boolean available, BooleanSupplier mayRetry) {
    return available && mayRetry.getAsBoolean() ? Step.MOVE : Step.STAY;
  }
}
