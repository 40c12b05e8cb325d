package io.sequoiapass.testbed.load;

/** Holds the caller interface's messages, as JSON names them. */
final class CallerMessages {

  private CallerMessages() {}

  /** A completion request. */
  record Completion(String model, String prompt, int maxTokens, boolean stream) {}

  /** An event of a stream: a token where it has a text, the end where it has an outcome. */
  record Event(
      String id,
      Integer index,
      String text,
      String outcome,
      String adapter,
      String version,
      int tokens,
      ErrorBody error) {}

  /** Tells why there is no answer. */
  record ErrorBody(String kind, String message) {}

  /** An answer of the plain service's stand-in. */
  record Plain(String requestId, String idempotencyKey) {}
}
