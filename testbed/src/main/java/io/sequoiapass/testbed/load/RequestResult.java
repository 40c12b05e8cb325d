package io.sequoiapass.testbed.load;

import java.util.Objects;

/**
 * Tells how one request ended.
 *
 * @param request the request
 * @param verdict how it ended
 * @param firstTokenMicros time to the first token, or to the whole answer of a plain service, in
 *     microseconds; -1 where none came
 * @param tookMicros time to the end, in microseconds
 * @param detail why it is not whole, or the empty string
 */
public record RequestResult(
    PlannedRequest request,
    Verdict verdict,
    long firstTokenMicros,
    long tookMicros,
    String detail) {

  /** Checks that nothing is missing. */
  public RequestResult {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(verdict, "verdict");
    Objects.requireNonNull(detail, "detail");
  }

  /** Returns this result judged wrong by what the stand-ins say ran. */
  RequestResult judgedWrong(String why) {
    return new RequestResult(request, Verdict.WRONG, firstTokenMicros, tookMicros, why);
  }
}
