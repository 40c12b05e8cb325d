package io.sequoiapass.testbed.load;

/** Messages of the caller interface, with the field names of their JSON form. */
final class CallerMessages {

  private CallerMessages() {}

  /** A completion request. */
  record Completion(String model, String prompt, int maxTokens, boolean stream) {}

  /** An event of a stream: a token if it has a text, the final event if it has an outcome. */
  record Event(
      String id,
      Integer index,
      String text,
      String outcome,
      String adapter,
      String version,
      int tokens,
      ErrorBody error) {}

  /** The error that is sent in place of an answer. */
  record ErrorBody(String kind, String message) {}

  /** An answer of the stand-in for the plain service. */
  record Plain(String requestId, String idempotencyKey) {}
}
