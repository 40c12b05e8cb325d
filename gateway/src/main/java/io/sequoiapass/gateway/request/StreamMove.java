package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.connection.SilenceInquiry;
import io.sequoiapass.coordination.connection.SilenceInquiry.Evidence;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointInquiries;
import io.sequoiapass.gateway.process.EndpointInquiries.Finding;
import io.sequoiapass.gateway.process.EndpointInquiries.Round;
import io.sequoiapass.gateway.process.Target;
import io.sequoiapass.gateway.spi.EndpointReport;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Moves a stream that has begun away from an endpoint that is silent.
 *
 * <p>Such a stream may be open at one endpoint only, so it loses the first one for good. It leaves
 * only on evidence against that endpoint, and only to one that has answered since and holds the
 * adapter. Until then it stays, however long the silence is. Used under the request's lock.
 */
final class StreamMove {

  /** Shortest interval between two rounds of inquiries, in milliseconds. */
  private static final long MIN_INTERVAL_MS = EndpointInquiries.TIMEOUT_MS;

  /** Longest interval, which rounds approach while nobody answers, in milliseconds. */
  private static final long MAX_INTERVAL_MS = 1_200;

  /** How long evidence holds if no other answers follow, in milliseconds. */
  private static final long EVIDENCE_MS = 1_000;

  /** Interval between two attempts to move after the budget has denied one, in milliseconds. */
  private static final long DENIED_INTERVAL_MS = 250;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final EndpointInquiries inquiries;
  private final EndpointSelection selection;
  private final EndpointSender sender;
  private SilenceInquiry inquiry;
  private Optional<CompletableFuture<Round>> asked = Optional.empty();
  private Optional<Next> next = Optional.empty();
  private long askedAt = NEVER;
  private long intervalMs = MIN_INTERVAL_MS;
  private long evidenceAt = NEVER;
  private long deniedAt = NEVER;

  /** The endpoint where the stream may continue, and what it answers. */
  private record Next(EndpointId endpoint, CompletableFuture<Finding> finding) {}

  StreamMove(EndpointSelection selection, EndpointSender sender) {
    this.inquiries = selection.context().inquiries();
    this.selection = selection;
    this.sender = sender;
    this.inquiry = new SilenceInquiry(selection.facts().requestId());
  }

  /** Forgets what was asked, since the stream continues. */
  void reset() {
    if (askedAt == NEVER && evidenceAt == NEVER) {
      return;
    }
    inquiry = new SilenceInquiry(selection.facts().requestId());
    asked = Optional.empty();
    next = Optional.empty();
    askedAt = NEVER;
    intervalMs = MIN_INTERVAL_MS;
    evidenceAt = NEVER;
    deniedAt = NEVER;
  }

  /**
   * Takes the next step: asks, or sends the stream to another endpoint. Called several times a
   * second while the endpoint is silent.
   *
   * @param request receives the answer
   * @param silent the attempt at the silent endpoint
   * @param others where the request must not be sent
   * @param now the time, in milliseconds
   * @return the new attempt; empty if the stream stays
   */
  Optional<EndpointAttempt> trySend(
      RelayedRequest request, EndpointAttempt silent, AvoidedRecipients others, long now) {
    inquire(silent, now);
    if (now - evidenceAt >= EVIDENCE_MS || now - deniedAt < DENIED_INTERVAL_MS) {
      return Optional.empty();
    }
    Demand demand = selection.demand(others, now);
    Choice choice = selection.choose(demand, now);
    if (choice instanceof Choice.Send send) {
      return sender
          .prompt()
          .turn(send, demand, now)
          .filter(turn -> isReady(turn.candidate().endpoint(), demand, now))
          .flatMap(turn -> send(request, turn, demand, now));
    }
    if (choice instanceof Choice.RequestLoad load) {
      selection.requestLoad(silent, load, demand, now);
    }
    return Optional.empty();
  }

  private Optional<EndpointAttempt> send(
      RelayedRequest request, Choice.Send turn, Demand demand, long now) {
    Optional<EndpointAttempt> sent = sender.trySend(request, turn, demand, now);
    deniedAt = sent.isPresent() ? NEVER : now;
    return sent;
  }

  /** Asks the silent endpoint and others, also while there is evidence, which may be refuted. */
  private void inquire(EndpointAttempt silent, long now) {
    if (asked.isEmpty() && now - askedAt >= intervalMs) {
      asked = inquiries.ask(selection.group(), silent.ticket.entry());
      askedAt = asked.isPresent() ? now : askedAt;
    }
    if (asked.filter(CompletableFuture::isDone).isEmpty()) {
      return;
    }
    Round round = asked.get().join();
    asked = Optional.empty();
    Finding suspect = round.suspect();
    SilenceInquiry.Reply reply =
        new SilenceInquiry.Reply(suspect.answer(), suspect.report().flatMap(EndpointReport::work));
    Evidence evidence = inquiry.compare(reply, round.compared());
    sender.log().inquired(silent, evidence, round.compared());
    boolean isCommon = !round.compared().contains(SilenceInquiry.Answer.GIVEN);
    intervalMs = isCommon ? Math.min(2 * intervalMs, MAX_INTERVAL_MS) : MIN_INTERVAL_MS;
    evidenceAt = evidence.isAgainst() ? now : NEVER;
  }

  /** Asks the next endpoint; returns whether it has answered and holds what the request needs. */
  private boolean isReady(EndpointId endpoint, Demand demand, long now) {
    if (next.filter(one -> one.endpoint().equals(endpoint)).isEmpty()) {
      next =
          inquiries.askOne(selection.group(), endpoint).map(finding -> new Next(endpoint, finding));
    }
    if (next.filter(one -> one.finding().isDone()).isEmpty()) {
      return false;
    }
    Finding finding = next.get().finding().join();
    next = Optional.empty();
    return finding.answer() == SilenceInquiry.Answer.GIVEN && holds(endpoint, finding, demand, now);
  }

  private boolean holds(EndpointId endpoint, Finding finding, Demand demand, long now) {
    long minVersion =
        selection
            .group()
            .target(endpoint, demand, now)
            .map(Target::expectedVersion)
            .orElse(OptionalLong.empty())
            .orElse(0);
    return demand
        .generation()
        .flatMap(Generation::adapter)
        .map(adapter -> finding.report().filter(r -> r.holds(adapter, minVersion)).isPresent())
        .orElse(true);
  }
}
