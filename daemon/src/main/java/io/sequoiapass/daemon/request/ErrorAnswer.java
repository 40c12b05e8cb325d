package io.sequoiapass.daemon.request;

import com.google.gson.JsonObject;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.NotRunProof;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.coordination.request.Repeatability;
import io.sequoiapass.daemon.connection.HttpResponder;
import java.util.LinkedHashMap;
import java.util.Map;

/** Writes error responses to callers; stateless. */
public final class ErrorAnswer {

  private static final long MILLIS_PER_SECOND = 1_000;

  private ErrorAnswer() {}

  /**
   * Refuses a request that has not left this daemon.
   *
   * @param responder the caller's connection
   * @param kind the reason, of the class {@code NOT_RUN}
   * @param detail the invalid value and the allowed ones, or empty
   */
  public static void refuse(HttpResponder responder, ErrorKind kind, String detail) {
    Outcome outcome = Outcome.notRun(kind, NotRunProof.neverLeftEntry());
    JsonObject body = new JsonObject();
    body.addProperty("outcome", outcome.outcomeClass().name());
    body.add("error", json(outcome, detail, Repeatability.AT_MOST_ONCE));
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Outcome", outcome.outcomeClass().name());
    putRetryAfter(headers, outcome);
    responder.respond(kind.httpStatus(), headers, body.toString());
  }

  /** Returns the error object of a response body. */
  static JsonObject json(Outcome outcome, String detail, Repeatability repeatability) {
    ErrorKind kind = kindOf(outcome);
    JsonObject error = new JsonObject();
    error.addProperty("kind", kind.name());
    error.addProperty("message", detail.isEmpty() ? kind.message() : kind.message() + " " + detail);
    error.addProperty("retry", kind.retryAdvice().name());
    error.addProperty("retry_safe", kind.retryAdvice().safeFor(repeatability));
    outcome.comeBackMillis().ifPresent(ms -> error.addProperty("come_back_ms", ms));
    return error;
  }

  static ErrorKind kindOf(Outcome outcome) {
    return outcome.error().orElse(ErrorKind.INTERNAL);
  }

  /**
   * Adds the {@code Retry-After} header, in seconds rounded up, if the outcome has a retry time.
   */
  static void putRetryAfter(Map<String, String> headers, Outcome outcome) {
    outcome
        .comeBackMillis()
        .ifPresent(ms -> headers.put("Retry-After", Long.toString(ceilSeconds(ms))));
  }

  private static long ceilSeconds(long ms) {
    return (ms + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }
}
