package io.sequoiapass.daemon.process.explain;

import java.util.Optional;

/**
 * Trace of one request, built from its decision log entries.
 *
 * <p>Not safe for use by several threads.
 */
final class RequestTrace {

  private final String id;
  private long firstSentMs = -1;
  private long lastSentMs;
  private long expectedMs;
  private int refusedByEndpoints;
  private int lost;
  private DecisionLine end;

  RequestTrace(String id) {
    this.id = id;
  }

  void add(DecisionLine line) {
    switch (line.event()) {
      case "sent" -> sent(line);
      case "not_run" -> refusedByEndpoints++;
      case "broken", "unsent" -> lost++;
      case "ended" -> end = line;
      default -> {
        // Other events do not contribute to the trace.
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

  /** Returns the priority, or a dash if it is unknown. */
  String priority() {
    return end.has("priority") ? end.text("priority") : "-";
  }

  /** Returns the workspace, or a dash if there is none. */
  String workspace() {
    return end.text("workspace").isEmpty() ? "-" : end.text("workspace");
  }

  /** Returns the arrival time, in milliseconds of the wall clock. */
  long arrivedAt() {
    return end.number("time_ms") - end.number("took_ms");
  }

  String outcome() {
    return end.text("outcome");
  }

  /** Returns the shortage for which the request was refused, or an empty string. */
  String shortage() {
    return end.has("shortage")
        ? ", short of %s, shortage %s of %s"
            .formatted(end.text("room"), end.text("shortage"), end.text("coordinator"))
        : "";
  }

  /** Returns the entry of the refusal if a shortage caused it. */
  Optional<DecisionLine> shortageRefusal() {
    return Optional.of(end).filter(line -> line.has("shortage"));
  }

  /** Returns the entry of the refusal if the usage limit of the workspace caused it. */
  Optional<DecisionLine> usageRefusal() {
    return Optional.of(end).filter(line -> outcome().equals("refused_USAGE_LIMIT"));
  }

  boolean isStream() {
    return end.number("first_ms") >= 0;
  }

  /**
   * Returns the time to the first token of a stream or to the answer otherwise, in milliseconds.
   */
  long responseMs() {
    return isStream() ? end.number("first_ms") : end.number("took_ms");
  }

  boolean isLate() {
    return responseMs() > end.number("target_ms");
  }

  boolean hasLongPause() {
    return isStream() && pauseMs() > gapTargetMs();
  }

  /** Returns the longest pause between two events, in milliseconds. */
  long pauseMs() {
    return end.number("pause_ms");
  }

  /** Returns the target for the longest pause, in milliseconds. */
  long gapTargetMs() {
    return end.number("gap_ms");
  }

  long slotWaitMs() {
    return end.number("slot_wait_ms");
  }

  long loadWaitMs() {
    return end.number("load_ms");
  }

  long turnWaitMs() {
    return end.number("turn_ms");
  }

  /** Returns the time spent on attempts that were refused or lost, in milliseconds. */
  long failedAttemptsMs() {
    long waits = Math.max(0, lastSentMs - firstSentMs);
    return refusedByEndpoints + lost > 0 ? waits : 0;
  }

  /** Returns the time at the endpoint that answered, in milliseconds. */
  long atEndpointMs() {
    return firstSentMs < 0 ? 0 : Math.max(0, responseMs() - lastSentMs);
  }

  /** Returns the time at the endpoint in excess of the expected time, in milliseconds. */
  long excessMs() {
    return atEndpointMs() - expectedMs;
  }

  boolean wasAnswered() {
    return outcome().equals("answered");
  }

  int refusedByEndpoints() {
    return refusedByEndpoints;
  }
}
