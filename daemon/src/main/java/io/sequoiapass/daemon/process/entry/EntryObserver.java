package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.daemon.request.CallerRequest;

/** Receives the stages of requests; called under a shard's lock, so it must not block. */
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
   * @param endpoint its endpoint
   */
  void routed(CallerRequest request, int attempt, EndpointId endpoint);

  /**
   * Called with the first token.
   *
   * @param request the request
   */
  void firstToken(CallerRequest request);

  /**
   * Called when a request has ended, before its outcome is sent to the caller.
   *
   * @param request the request
   * @param outcome the outcome
   */
  void ended(CallerRequest request, Outcome outcome);
}
