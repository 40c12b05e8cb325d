package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointTicket;
import io.sequoiapass.gateway.process.Recipient;
import io.sequoiapass.gateway.process.Target;
import java.util.Optional;

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
   * What the send of a request to an endpoint needs.
   *
   * @param target the endpoint
   * @param ticket permits the send
   */
  record Permit(Target target, EndpointTicket ticket) {}

  /** Returns whether an endpoint has run the request, or still may; a rejected attempt does not. */
  boolean hasRun() {
    return response.isStarted() || attempts.mayHaveRun();
  }

  /**
   * Returns what the send to an endpoint needs; empty if another thread has used the permit, or
   * removed the endpoint, since the choice.
   */
  Optional<Permit> permit(Choice.Send choice, Demand demand, long now) {
    EndpointId endpoint = choice.candidate().endpoint();
    Optional<Target> target = selection.group().target(endpoint, demand, now);
    return target.flatMap(
        one ->
            selection.group().begin(endpoint, demand, now).map(ticket -> new Permit(one, ticket)));
  }

  /** Returns whether the budget allows the send; the permit is returned if it does not. */
  boolean isAllowed(Permit permit, long now) {
    boolean allowed = attempts.trySend(now);
    if (!allowed) {
      permit.ticket().ended(Recipient.Ending.NO_BLAME, now);
      log.retryDenied(attempts);
    }
    return allowed;
  }

  /** Sends the request if a permit and the budget allow it; empty if they do not. */
  Optional<EndpointAttempt> trySend(
      RelayedRequest request, Choice.Send choice, Demand demand, long now) {
    return permit(choice, demand, now)
        .filter(permit -> isAllowed(permit, now))
        .map(permit -> send(request, choice, permit, demand, now));
  }

  /**
   * Sends the request.
   *
   * @param request receives the answer
   * @param choice the choice of the endpoint
   * @param permit the endpoint, and what permits the send
   * @param demand what the request needs
   * @param now the time, in milliseconds
   */
  EndpointAttempt send(
      RelayedRequest request, Choice.Send choice, Permit permit, Demand demand, long now) {
    try {
      return sendTo(request, choice, permit, demand, now);
    } catch (RuntimeException e) {
      permit.ticket().ended(Recipient.Ending.NO_BLAME, now);
      attempts.ran();
      throw e;
    }
  }

  private EndpointAttempt sendTo(
      RelayedRequest request, Choice.Send choice, Permit permit, Demand demand, long now) {
    EndpointTicket ticket = permit.ticket();
    prompt.sent(ticket, choice.candidate(), demand);
    RelayContext context = selection.context();
    ForwardedRequest forward = selection.forward();
    context.peers().path().sent();
    log.sent(
        choice, ticket, attempts, response.lastEvent(), selection.origin(), forward.caller(), now);
    HttpCall call = forward.to(permit.target(), demand.remainingMs(), response.lastEvent());
    EndpointAttempt attempt =
        new EndpointAttempt(
            request,
            ticket,
            choice.candidate().dataCentre(),
            context.peers().path(),
            crashes.progress(choice.candidate().endpoint(), permit.target().address()),
            silenceMs(choice, demand),
            now);
    attempt.stream =
        context.http().stream(call, demand.remainingMs() + EndpointTimeouts.CALL_SLACK_MS, attempt);
    return attempt;
  }

  /** Returns how long an endpoint may be silent before another one replaces it. */
  private long silenceMs(Choice.Send choice, Demand demand) {
    return demand.generation().isPresent()
        ? EndpointTimeouts.engineTimeoutMs(selection.route(), choice.expectedMs())
        : EndpointTimeouts.serviceTimeoutMs(selection.group().usualServiceMs(choice.candidate()));
  }
}
