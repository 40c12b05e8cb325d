package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.connection.SilenceInquiry.Answer;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpTransport;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import io.sequoiapass.gateway.spi.EndpointReport;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Asks endpoints at the same time for a report, over new connections, to find out which of them are
 * alive. Requests that ask for the same endpoint share one report.
 *
 * <p>Safe for use by several threads.
 */
public final class EndpointInquiries {

  /** Timeout of a report, in milliseconds; endpoints that are not silent answer within a few. */
  public static final long TIMEOUT_MS = 300;

  /** Time within which an endpoint that is not silent answers, in milliseconds. */
  private static final long PROMPT_MS = TIMEOUT_MS / 2;

  /** Age up to which a report that was requested for another request is used, in milliseconds. */
  private static final long SHARED_MS = 100;

  /** Maximum number of reports that are awaited at a time. */
  private static final int MAX_OPEN = 64;

  /** Number of endpoints that are asked besides the silent one. */
  private static final int OTHERS = 3;

  private final EndpointProtocol protocol;
  private final HttpTransport http;
  private final MillisClock clock;
  private final GatewayMetrics metrics;
  private final Random random;
  private final Map<EndpointId, Asked> asked = new LinkedHashMap<>();

  private record Asked(long at, CompletableFuture<Finding> finding) {}

  /**
   * What an endpoint answered.
   *
   * @param answer how it reacted
   * @param report its report; empty if there is none that can be decoded
   * @param tookMs the time until the result, in milliseconds
   */
  public record Finding(Answer answer, Optional<EndpointReport> report, long tookMs) {

    /**
     * Returns the result as it counts in a comparison. An endpoint that answers late has been
     * silent, too: the one that it is compared with may be about to answer.
     */
    Answer compared() {
      boolean isLate = answer == Answer.GIVEN && tookMs > PROMPT_MS;
      return isLate ? Answer.NONE : answer;
    }
  }

  /**
   * The results of one round.
   *
   * @param suspect the result of the silent endpoint
   * @param others the results of the others
   */
  public record Round(Finding suspect, Map<EndpointId, Finding> others) {

    /** Copies the results. */
    public Round {
      others = Map.copyOf(others);
    }

    /** Returns the results of the others as they count in a comparison. */
    public List<Answer> compared() {
      return others.values().stream().map(Finding::compared).toList();
    }
  }

  /**
   * Creates it.
   *
   * @param protocol how endpoints are asked
   * @param http opens connections to them
   * @param clock the monotonic clock
   * @param metrics the counters
   */
  public EndpointInquiries(
      EndpointProtocol protocol, HttpTransport http, MillisClock clock, GatewayMetrics metrics) {
    this(protocol, http, clock, metrics, new Random());
  }

  EndpointInquiries(
      EndpointProtocol protocol,
      HttpTransport http,
      MillisClock clock,
      GatewayMetrics metrics,
      Random random) {
    this.protocol = protocol;
    this.http = http;
    this.clock = clock;
    this.metrics = metrics;
    this.random = random;
  }

  /**
   * Asks an endpoint and some others of its service.
   *
   * @param group the service
   * @param suspect the silent endpoint
   * @return the results; empty if too many reports are awaited
   */
  public Optional<CompletableFuture<Round>> ask(EndpointGroup group, EndpointEntry suspect) {
    List<EndpointEntry> others = others(group, suspect.endpoint());
    boolean reports = group.engine().isPresent();
    Map<EndpointId, CompletableFuture<Finding>> findings = new LinkedHashMap<>();
    synchronized (this) {
      if (!hasRoom(1 + others.size())) {
        return Optional.empty();
      }
      findings.put(suspect.endpoint(), ask(suspect, reports));
      others.forEach(one -> findings.put(one.endpoint(), ask(one, reports)));
    }
    return Optional.of(
        CompletableFuture.allOf(findings.values().toArray(CompletableFuture[]::new))
            .thenApply(done -> round(suspect.endpoint(), findings)));
  }

  /**
   * Asks one endpoint.
   *
   * @param group its service
   * @param endpoint the endpoint
   * @return the result; empty if it accepts no new requests, or too many reports are awaited
   */
  public Optional<CompletableFuture<Finding>> askOne(EndpointGroup group, EndpointId endpoint) {
    boolean reports = group.engine().isPresent();
    Optional<EndpointEntry> entry =
        group.entries(clock.millis()).stream()
            .filter(one -> one.endpoint().equals(endpoint))
            .findFirst();
    synchronized (this) {
      return entry.filter(one -> hasRoom(1)).map(one -> ask(one, reports));
    }
  }

  private boolean hasRoom(int more) {
    asked.values().removeIf(one -> one.finding().isDone() && !isShared(one));
    long open = asked.values().stream().filter(one -> !one.finding().isDone()).count();
    boolean hasRoom = open + more <= MAX_OPEN;
    if (!hasRoom) {
      metrics.count("sequoiapass_endpoint_inquiries_postponed_total");
    }
    return hasRoom;
  }

  private static Round round(
      EndpointId suspect, Map<EndpointId, CompletableFuture<Finding>> findings) {
    Map<EndpointId, Finding> others = new LinkedHashMap<>();
    findings.forEach((endpoint, finding) -> others.put(endpoint, finding.join()));
    return new Round(others.remove(suspect), others);
  }

  private List<EndpointEntry> others(EndpointGroup group, EndpointId suspect) {
    List<EndpointEntry> all = new ArrayList<>(group.entries(clock.millis()));
    all.removeIf(entry -> entry.endpoint().equals(suspect));
    Collections.shuffle(all, random);
    return all.subList(0, Math.min(OTHERS, all.size()));
  }

  private boolean isShared(Asked one) {
    return clock.millis() - one.at() < SHARED_MS;
  }

  private CompletableFuture<Finding> ask(EndpointEntry entry, boolean reports) {
    Asked before = asked.get(entry.endpoint());
    if (before != null && isShared(before)) {
      return before.finding();
    }
    metrics.count("sequoiapass_endpoint_inquiries_total");
    long now = clock.millis();
    CompletableFuture<Finding> finding = reports ? report(entry, now) : connect(entry, now);
    asked.put(entry.endpoint(), new Asked(now, finding));
    return finding;
  }

  private CompletableFuture<Finding> report(EndpointEntry entry, long now) {
    return http.send(
            protocol
                .reportCall(entry.endpoint(), entry.address())
                .reuse(ReusePolicy.NONE)
                .maxBodyBytes(EndpointCalls.MAX_ANSWER_BYTES),
            TIMEOUT_MS)
        .handle(
            (answer, failure) ->
                failure == null
                    ? answered(answer, now)
                    : finding(resultOf(failure), Optional.empty(), now));
  }

  /** An address that belongs to another process now is one where the endpoint has ended. */
  private Finding answered(HttpAnswer answer, long now) {
    boolean isOther =
        protocol.classify(answer.status(), answer.headers()) == AnswerClass.NOT_RUN_ELSEWHERE;
    return isOther
        ? finding(Answer.REFUSED, Optional.empty(), now)
        : finding(Answer.GIVEN, protocol.report(answer), now);
  }

  private Finding finding(Answer answer, Optional<EndpointReport> report, long askedAt) {
    return new Finding(answer, report, clock.millis() - askedAt);
  }

  /** Endpoints without reports show only whether they accept connections. */
  private CompletableFuture<Finding> connect(EndpointEntry entry, long now) {
    return http.canConnect(entry.address())
        .thenApply(isOpen -> finding(isOpen ? Answer.GIVEN : Answer.NONE, Optional.empty(), now));
  }

  private static Answer resultOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (!(cause instanceof HttpFailure unanswered) || unanswered.isTimedOut()) {
      return Answer.NONE;
    }
    return unanswered.mayHaveReached() ? Answer.CLOSED : Answer.REFUSED;
  }
}
