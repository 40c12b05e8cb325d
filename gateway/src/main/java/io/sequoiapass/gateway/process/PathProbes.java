package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.connection.EndpointPath;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpTransport;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Asks endpoints over new connections, to find out whether they can be reached.
 *
 * <p>Safe for use by several threads.
 */
final class PathProbes {

  /** Timeout of a probe, in milliseconds: endpoints report within a few. */
  private static final long TIMEOUT_MS = 300;

  /**
   * Time for which an event loop may run late during a probe that counts as silent, in
   * milliseconds: what is left of the timeout has to be enough for several passes of the loop and
   * the answer.
   */
  private static final long MAX_LATE_MS = 100;

  private final EndpointProtocol protocol;
  private final HttpTransport http;
  private final MillisClock clock;

  /** How a probe ended. */
  enum Outcome {
    /** The endpoint has answered. */
    ANSWERED(EndpointPath.Probe.ANSWERED),
    /** The connection was opened, but the answer has not arrived in time. */
    SILENT(EndpointPath.Probe.SILENT),
    /** The connection was not opened in time. */
    OPENING(EndpointPath.Probe.SILENT),
    /** The connection was refused or closed. */
    FAILED(EndpointPath.Probe.FAILED);

    private final EndpointPath.Probe probe;

    Outcome(EndpointPath.Probe probe) {
      this.probe = probe;
    }

    /** Returns what the outcome shows of the path. */
    EndpointPath.Probe probe() {
      return probe;
    }

    /**
     * Returns whether the daemon would have noticed an answer; it notices a refusal however late.
     *
     * @param lateMs for how long an event loop ran late meanwhile, in milliseconds
     */
    boolean isHeard(long lateMs) {
      return probe != EndpointPath.Probe.SILENT || lateMs <= MAX_LATE_MS;
    }

    /**
     * Returns the outcome of a probe.
     *
     * @param failure its failure; null if there is an answer
     */
    static Outcome of(Throwable failure) {
      if (failure == null) {
        return ANSWERED;
      }
      Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
      if (cause instanceof HttpFailure late && late.isTimedOut()) {
        return late.mayHaveReached() ? SILENT : OPENING;
      }
      return FAILED;
    }
  }

  /**
   * The result of a probe.
   *
   * @param endpoint the endpoint
   * @param outcome how it ended
   * @param tookMs after which time, in milliseconds
   */
  record Result(EndpointId endpoint, Outcome outcome, long tookMs) {}

  /**
   * Creates it.
   *
   * @param protocol how endpoints are asked for a report
   * @param http opens connections to them
   * @param clock the monotonic clock
   */
  PathProbes(EndpointProtocol protocol, HttpTransport http, MillisClock clock) {
    this.protocol = protocol;
    this.http = http;
    this.clock = clock;
  }

  /**
   * Sends a probe.
   *
   * @param endpoint the endpoint
   * @param reports whether it reports its state; otherwise, a connection is enough
   */
  CompletableFuture<Result> send(EndpointEntry endpoint, boolean reports) {
    long sentAt = clock.millis();
    return (reports ? report(endpoint) : connect(endpoint))
        .thenApply(outcome -> new Result(endpoint.endpoint(), outcome, clock.millis() - sentAt));
  }

  private CompletableFuture<Outcome> report(EndpointEntry endpoint) {
    return http.send(
            protocol
                .reportCall(endpoint.endpoint(), endpoint.address())
                .reuse(ReusePolicy.NONE)
                .maxBodyBytes(EndpointCalls.MAX_ANSWER_BYTES),
            TIMEOUT_MS)
        .handle((answer, failure) -> Outcome.of(failure));
  }

  private CompletableFuture<Outcome> connect(EndpointEntry endpoint) {
    return http.connect(endpoint.address()).handle((opened, failure) -> Outcome.of(failure));
  }
}
