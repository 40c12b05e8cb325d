package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.spi.AnswerClass;
import java.util.Optional;

/**
 * The last failure that an endpoint reported for a request, which is the response if no attempt
 * brings a better one.
 *
 * <p>Not safe for use by several threads: used under the request's lock.
 */
final class ReportedFailure {

  /** Largest body that is kept while another attempt is open, in bytes. */
  private static final int MAX_BODY_BYTES = 64 << 10;

  private Optional<Report> kept = Optional.empty();

  private record Report(int status, RelayAttempt.Body body) {}

  /** Keeps an answer if it is a failure that may be passed on. */
  void keep(AnswerClass answer, int status, RelayAttempt.Body body) {
    if (answer == AnswerClass.RAN_AND_FAILED && body.bytes().length <= MAX_BODY_BYTES) {
      kept = Optional.of(new Report(status, body));
    }
  }

  /** Returns how the request ends, for the log, instead of an outcome without an answer. */
  String outcomeOr(String other) {
    return kept.isPresent() ? "endpoint_failed" : other;
  }

  /** Returns the status of the response instead of that of an error. */
  int statusOr(int other) {
    return kept.map(Report::status).orElse(other);
  }

  /** Sends the failure, or runs what states an error if there is none. */
  void respondOr(ResponseRelay response, Runnable error) {
    kept.ifPresentOrElse(report -> response.respond(report.status(), report.body()), error);
  }
}
