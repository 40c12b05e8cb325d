package io.sequoiapass.gateway.request;

import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointTicket;
import io.sequoiapass.gateway.process.Target;

/**
 * Sends one request to endpoints. Used under the request's lock.
 *
 * @param selection chooses the endpoints
 * @param attempts counts the attempts
 * @param response the response to the caller
 * @param crashes whether the request ends endpoints
 * @param prompt the turn of its prompt
 * @param log logs the sends
 */
record EndpointSender(
    EndpointSelection selection,
    AttemptCount attempts,
    ResponseRelay response,
    CrashEvidence crashes,
    PromptWait prompt,
    RequestLog log) {

  /**
   * Sends the request.
   *
   * @param request receives the answer
   * @param choice the choice of the endpoint
   * @param target the endpoint
   * @param ticket permits the send
   * @param demand what the request needs
   * @param now the time, in milliseconds
   */
  EndpointAttempt send(
      RelayedRequest request,
      Choice.Send choice,
      Target target,
      EndpointTicket ticket,
      Demand demand,
      long now) {
    prompt.sent(ticket, choice.candidate(), demand);
    RelayContext context = selection.context();
    ForwardedRequest forward = selection.forward();
    context.peers().path().sent();
    log.sent(
        choice, ticket, attempts, response.lastEvent(), selection.origin(), forward.caller(), now);
    HttpCall call = forward.to(target, demand.remainingMs(), response.lastEvent());
    EndpointAttempt attempt =
        new EndpointAttempt(
            request,
            ticket,
            choice.candidate().dataCentre(),
            context.peers().path(),
            crashes.progress(choice.candidate().endpoint(), target.address()),
            now);
    attempt.stream =
        context.http().stream(call, demand.remainingMs() + EndpointTimeouts.CALL_SLACK_MS, attempt);
    return attempt;
  }

  /** Returns how long an endpoint may be silent before another one replaces it. */
  long silenceMs(Choice.Send choice, Demand demand) {
    return demand.generation().isPresent()
        ? EndpointTimeouts.engineTimeoutMs(selection.route(), choice.expectedMs())
        : EndpointTimeouts.serviceTimeoutMs(selection.group().usualServiceMs(choice.candidate()));
  }
}
