package io.sequoiapass.testbed.load;

import java.util.Objects;

/**
 * Result of one request.
 *
 * @param request the request
 * @param verdict class of the result
 * @param firstTokenMicros time to the first token, or to the complete answer of a plain service, in
 *     microseconds; -1 if there was none
 * @param tookMicros time to the end, in microseconds
 * @param detail why the answer is not complete, or the empty string
 */
public record RequestResult(
    PlannedRequest request,
    Verdict verdict,
    long firstTokenMicros,
    long tookMicros,
    String detail) {

  /** Rejects null components. */
  public RequestResult {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(verdict, "verdict");
    Objects.requireNonNull(detail, "detail");
  }

  /** Returns a copy marked wrong because it contradicts the stand-ins' records. */
  RequestResult asWrong(String why) {
    return new RequestResult(request, Verdict.WRONG, firstTokenMicros, tookMicros, why);
  }
}
