package io.sequoiapass.daemon.process.explain;

/**
 * What the lines of one request say of its way.
 *
 * <p>Not safe for use by several threads.
 */
final class RequestTrail {

  private final String id;
  private long firstSentMs = -1;
  private long lastSentMs;
  private long expectedMs;
  private int refusedByEndpoints;
  private int lost;
  private DecisionLine end;

  RequestTrail(String id) {
    this.id = id;
  }

  void add(DecisionLine line) {
    switch (line.event()) {
      case "sent" -> sent(line);
      case "not_run" -> refusedByEndpoints++;
      case "broken", "unsent" -> lost++;
      case "ended" -> end = line;
      default -> {
        // Other lines of a request say nothing of its way.
      }
    }
  }

  private void sent(DecisionLine line) {
    lastSentMs = line.number("waited_ms");
    expectedMs = line.number("expected_ms");
    if (firstSentMs < 0) {
      firstSentMs = lastSentMs;
    }
  }

  String id() {
    return id;
  }

  boolean hasEnded() {
    return end != null;
  }

  String route() {
    return end.text("route");
  }

  /** Returns when it arrived, in milliseconds of the wall clock. */
  long arrivedAt() {
    return end.number("time_ms") - end.number("took_ms");
  }

  String outcome() {
    return end.text("outcome");
  }

  boolean isStream() {
    return end.number("first_ms") >= 0;
  }

  /** Returns the time until the caller had what it waits for first, in milliseconds. */
  long answeredMs() {
    return isStream() ? end.number("first_ms") : end.number("took_ms");
  }

  boolean isLate() {
    return answeredMs() > end.number("target_ms");
  }

  boolean paused() {
    return isStream() && end.number("pause_ms") > end.number("gap_ms");
  }

  long waitedForPlaceMs() {
    return end.number("slot_wait_ms");
  }

  long waitedForLoadMs() {
    return end.number("load_ms");
  }

  /** Returns the time that sendings cost which led to nothing, in milliseconds. */
  long sentAgainMs() {
    long waits = Math.max(0, lastSentMs - firstSentMs);
    return refusedByEndpoints + lost > 0 ? waits : 0;
  }

  /** Returns the time at the endpoint that answered, in milliseconds. */
  long atEndpointMs() {
    return firstSentMs < 0 ? 0 : Math.max(0, answeredMs() - lastSentMs);
  }

  /** Returns how much longer than expected the endpoint took, in milliseconds. */
  long beyondExpectedMs() {
    return atEndpointMs() - expectedMs;
  }

  boolean wasAnswered() {
    return outcome().equals("answered");
  }

  int refusedByEndpoints() {
    return refusedByEndpoints;
  }
}
