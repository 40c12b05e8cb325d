package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.connection.SilenceInquiry;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.daemon.connection.ClientPresence;
import io.sequoiapass.gateway.process.Candidate;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.EndpointTicket;
import io.sequoiapass.gateway.process.Recipient;
import io.sequoiapass.gateway.process.SharedRetryBudget;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.spi.EndpointNotice;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

/** Logs the decisions on one request. Used under the request's lock. */
final class RequestLog {

  private static final double PERCENT = 100;

  private final RelayContext context;
  private final RouteSpec route;
  private final boolean forPeer;
  private final String requestId;
  private final String adapter;
  private final String workspace;
  private final int priority;
  private final String resumes;
  private final Optional<Generation> generation;

  RequestLog(
      RelayContext context,
      RouteSpec route,
      CallerFacts facts,
      CallerAccess access,
      boolean forPeer) {
    this.context = context;
    this.route = route;
    this.forPeer = forPeer;
    this.requestId = facts.requestId();
    this.resumes = facts.resumes().orElse("");
    this.generation = facts.generation();
    this.adapter =
        facts.generation().flatMap(Generation::adapter).map(AdapterName::toString).orElse("");
    Flow flow = access.flow(route);
    this.priority = flow.workspace().isPresent() ? flow.priority() : route.priority();
    this.workspace = access.identity().workspace().map(WorkspaceId::toString).orElse("");
  }

  /** Logs that the request is sent, with the estimates that the choice of the endpoint rests on. */
  void sent(
      Choice.Send choice,
      EndpointTicket ticket,
      AttemptCount attempts,
      long lastEvent,
      RequestOrigin origin,
      ClientPresence caller,
      long now) {
    Candidate candidate = choice.candidate();
    OptionalDouble limit = ticket.requestsPerS();
    if (limit.isPresent()) {
      context.metrics().count("sequoiapass_sends_under_a_limit_total");
    }
    context
        .log()
        .request("sent", requestId)
        .with("limit_per_s", limit.isPresent() ? limit.getAsDouble() : "")
        .with("route", route.name())
        .with("adapter", adapter)
        .with("endpoint", candidate.endpoint())
        .with("software", ticket.software())
        .with("last_event", lastEvent)
        .with("resumes", resumes)
        .with("near", candidate.near())
        .with("send", attempts.sends())
        .with("expected_ms", choice.expectedMs())
        .with("waited_ms", origin.waitedMs(now))
        .with("read_ms", caller.ageMs())
        .with("left_ms", origin.remainingMs(now))
        .with("running", candidate.load().running())
        .with("prefill_tokens", candidate.load().prefillTokens())
        .with("recent_tokens", candidate.load().recentTokens())
        .with("cached_tokens", candidate.cachedTokens())
        .with("connection_ms", candidate.connectionMs())
        .with("slowdown", Math.round(candidate.slowdown() * PERCENT) / PERCENT)
        .write();
  }

  /**
   * Logs that the caller has left, and what of the last send may still be on its way.
   *
   * @param last the last attempt; null if there was none
   * @param caller how recently the caller's connection was read before
   */
  void callerLeft(RelayAttempt last, ClientPresence caller) {
    context.metrics().count("sequoiapass_callers_left_total");
    context
        .log()
        .request("caller_left", requestId)
        .with("since_send_ms", last == null ? -1 : context.clock().millis() - last.sentAt)
        .with("unsent_bytes", last == null || last.stream == null ? 0 : last.stream.unsentBytes())
        .with("read_ms", caller.ageMs())
        .write();
  }

  /** Logs that the endpoint names another limit of its requests, or none any more. */
  private void limitNamed(RelayAttempt from, OptionalDouble requestsPerS) {
    context
        .log()
        .request("endpoint_limit", requestId)
        .with("endpoint", from.recipient.name())
        .with("limit_per_s", requestsPerS.isPresent() ? requestsPerS.getAsDouble() : "")
        .write();
  }

  /** Logs what an answer states about its endpoint. */
  void noticed(RelayAttempt from, EndpointNotice notice, boolean limitChanged) {
    if (limitChanged) {
      limitNamed(from, notice.requestsPerS());
    }
    if (notice.restMs().isPresent()) {
      context.metrics().count("sequoiapass_endpoint_rests_total");
      context
          .log()
          .request("endpoint_rest", requestId)
          .with("endpoint", from.recipient.name())
          .with("rest_ms", notice.restMs().getAsLong())
          .write();
    }
    if (notice.leaving()) {
      context
          .log()
          .request("endpoint_leaving", requestId)
          .with("endpoint", from.recipient.name())
          .write();
    }
  }

  /** Logs that the endpoint reports that it did not run the request. */
  void notRun(RelayAttempt from, AnswerClass answer) {
    context
        .log()
        .request("not_run", requestId)
        .with("endpoint", from.recipient.name())
        .with("answer", answer)
        .with("took_ms", context.clock().millis() - from.sentAt)
        .write();
  }

  /** Logs that the request is sent through a peer. */
  void sentThroughPeer(Recipient peer, int send, RequestOrigin origin, long now) {
    context.metrics().count("sequoiapass_sends_through_peers_total");
    context
        .log()
        .request("sent_through_peer", requestId)
        .with("route", route.name())
        .with("peer", peer.name())
        .with("send", send)
        .with("waited_ms", origin.waitedMs(now))
        .with("left_ms", origin.remainingMs(now))
        .write();
  }

  /** Logs that a peer has no answer of an endpoint. */
  void peerFailed(RelayAttempt from, ErrorKind kind) {
    context
        .log()
        .request("peer_failed", requestId)
        .with("peer", from.recipient.name())
        .with("reason", kind)
        .with("took_ms", context.clock().millis() - from.sentAt)
        .write();
  }

  /**
   * Logs that the endpoint or peer was lost; the event's name states whether the request may have
   * run.
   */
  void lost(String event, RelayAttempt from, String reason, EventRelay.Position position) {
    AnswerEnd end = AnswerEnd.of(from, position);
    context.metrics().count(end.counter("lost"));
    context
        .log()
        .request(event, requestId)
        .with("endpoint", from.recipient.name())
        .with("reason", reason)
        .with("took_ms", context.clock().millis() - from.sentAt)
        .with("last_event", position.lastEvent())
        .with("framing", end.framing())
        .with("partial_bytes", position.partialBytes())
        .with("shared_parts", sharedParts())
        .write();
  }

  /** Logs that an attempt is silent, and kept although the request is sent elsewhere, too. */
  void silent(RelayAttempt attempt) {
    context.metrics().count("sequoiapass_silent_attempts_total");
    context
        .log()
        .request("silent", requestId)
        .with("endpoint", attempt.recipient.name())
        .with("took_ms", context.clock().millis() - attempt.sentAt)
        .write();
  }

  /**
   * Logs what an endpoint that is silent and others have answered.
   *
   * @param silent the attempt at the silent endpoint
   * @param evidence what the answers show
   * @param others the results of the others
   */
  void inquired(
      RelayAttempt silent,
      SilenceInquiry.Evidence evidence,
      Collection<SilenceInquiry.Answer> others) {
    String label = "{evidence=\"" + evidence.name().toLowerCase(Locale.ROOT) + "\"}";
    context.metrics().count("sequoiapass_silence_inquiries_total" + label);
    context
        .log()
        .request("silence_inquiry", requestId)
        .with("endpoint", silent.recipient.name())
        .with("evidence", evidence)
        .with("silent_ms", silent.silentForMs(context.clock().millis()))
        .with("asked", others.size())
        .with("answered", Collections.frequency(others, SilenceInquiry.Answer.GIVEN))
        .write();
  }

  /** Logs that an attempt ends since another one takes its place. */
  void replaced(RelayAttempt attempt, EventRelay.Position position) {
    context
        .log()
        .request("replaced", requestId)
        .with("endpoint", attempt.recipient.name())
        .with("took_ms", context.clock().millis() - attempt.sentAt)
        .with("last_event", position.lastEvent())
        .write();
  }

  /** Logs an exception that was thrown while the request was dispatched. */
  void failed(RuntimeException cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    context.metrics().count("sequoiapass_internal_errors_total");
    context
        .log()
        .request("internal_error", requestId)
        .with("where", "dispatch")
        .with("cause", cause.toString())
        .with("at", trace.length == 0 ? "" : trace[0].toString())
        .write();
  }

  /** Returns the parts of the prompt that other requests may have, too. */
  private String sharedParts() {
    return generation.map(Generation::sharedParts).orElse(List.of()).stream()
        .map(Generation.PromptPart::id)
        .collect(Collectors.joining(","));
  }

  /** Logs that a stream that has begun waits for an endpoint where it is refused. */
  void searchesAgain(ErrorKind refusal) {
    context.metrics().count("sequoiapass_stream_searches_total");
    context.log().request("stream_search", requestId).with("reason", refusal).write();
  }

  /** Logs that the retry budget does not allow another attempt. */
  void retryDenied(AttemptCount attempts) {
    SharedRetryBudget.Usage budget = attempts.budgetUsage(context.clock().millis());
    context.metrics().count("sequoiapass_retries_denied_total");
    context
        .log()
        .request("retry_denied", requestId)
        .with("route", route.name())
        .with("sends", attempts.sends())
        .with("unsent", attempts.unsentCount())
        .with("window_requests", budget.allowance().requests())
        .with("saved", Math.round(budget.allowance().saved() * PERCENT) / PERCENT)
        .with("borrowed", Math.round(budget.allowance().borrowed() * PERCENT) / PERCENT)
        .with("leased", budget.allowance().leased())
        .with("needed", budget.allowance().needed())
        .with("budget_age_ms", budget.ageMs())
        .write();
  }

  /**
   * The durations of a request.
   *
   * @param tookMs from its arrival to its end, in milliseconds
   * @param firstMs from its arrival to the first event, in milliseconds; negative if there was none
   * @param pauseMs the longest pause between two events, in milliseconds
   * @param waits how long it waited before it was sent, by reason
   */
  record Times(long tookMs, long firstMs, long pauseMs, WaitTimes waits) {}

  /**
   * How the last answer to a request ended.
   *
   * @param framing how its end is marked; empty if there was none
   * @param position how far its stream was read
   */
  record AnswerEnd(String framing, EventRelay.Position position) {

    static AnswerEnd of(RelayAttempt attempt, EventRelay.Position position) {
      String framing =
          Optional.ofNullable(attempt)
              .flatMap(RelayAttempt::framing)
              .map(value -> value.name().toLowerCase(Locale.ROOT))
              .orElse("");
      return new AnswerEnd(framing, position);
    }

    /** Returns the name of the counter of answers that ended so. */
    private String counter(String end) {
      return "sequoiapass_answers_total{end=\"%s\",framing=\"%s\",partial_event=\"%s\"}"
          .formatted(end, framing, position.partialBytes() > 0);
    }
  }

  /**
   * What is logged about a response.
   *
   * @param times its durations
   * @param end how the last answer ended
   */
  record Summary(Times times, AnswerEnd end) {}

  /** Logs the end of the request. */
  void ended(String outcome, int status, Summary summary, AttemptCount attempts) {
    Times times = summary.times();
    AnswerEnd end = summary.end();
    String label = outcome.startsWith("cut_") ? "cut" : outcome;
    String counter = forPeer ? "sequoiapass_peer_requests_total" : "sequoiapass_requests_total";
    context.metrics().count(counter + "{outcome=\"" + label + "\"}");
    if (outcome.equals("answered")) {
      context.metrics().count(end.counter("complete"));
    }
    context
        .log()
        .request(forPeer ? "ended_for_peer" : "ended", requestId)
        .with("route", route.name())
        .with("adapter", adapter)
        .with("workspace", workspace)
        .with("priority", priority)
        .with("outcome", outcome)
        .with("status", status)
        .with("took_ms", times.tookMs())
        .with("first_ms", times.firstMs())
        .with("pause_ms", times.pauseMs())
        .with("target_ms", route.targetMs())
        .with("gap_ms", route.gapTargetMs())
        .with("slot_wait_ms", times.waits().of(WaitTimes.Kind.SLOT))
        .with("load_ms", times.waits().of(WaitTimes.Kind.LOAD))
        .with("turn_ms", times.waits().of(WaitTimes.Kind.TURN))
        .with("sends", attempts.sends())
        .with("runs", attempts.runs())
        .with("last_event", end.position().lastEvent())
        .with("framing", end.framing())
        .with("partial_bytes", end.position().partialBytes())
        .write();
  }
}
