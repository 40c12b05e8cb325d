package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.daemon.request.CallerRequest;

/** Hears of the stages of requests; called under a shard's lock, must not block. */
public interface EntryObserver {

  /**
   * Called when a request was accepted.
   *
   * @param request the request
   */
  void accepted(CallerRequest request);

  /**
   * Called when an attempt was sent.
   *
   * @param request the request
   * @param attempt its number
   * @param endpoint where it goes
   */
  void routed(CallerRequest request, int attempt, EndpointId endpoint);

  /**
   * Called with the first token.
   *
   * @param request the request
   */
  void firstToken(CallerRequest request);

  /**
   * Called when the caller was told the outcome.
   *
   * @param request the request
   * @param outcome the outcome
   */
  void ended(CallerRequest request, Outcome outcome);
}
