package io.sequoiapass.daemon.process.explain;

/** Classification of an ended request; a late one is classified by what took most of its time. */
enum Loss {
  /** Answered within the route's target time, without a pause above the target. */
  NONE("in time"),
  /** Late; it mostly waited for a free adapter slot on any engine. */
  SLOT("late: waited for an adapter slot"),
  /** Late; it mostly waited for its adapter to load. */
  LOAD("late: waited for its adapter to load"),
  /** Late; it mostly waited for its turn to have its prompt read. */
  TURN("late: waited for the turn of its prompt"),
  /** Late; most of its time was spent on attempts that endpoints refused or lost. */
  RETRIED("late: retried after a refusal or a loss"),
  /** Late; the endpoint took much longer than expected. */
  SLOW_ENDPOINT("late: the endpoint took longer than expected"),
  /** Late; the endpoint took about as long as expected. */
  BUSY_ENDPOINT("late: the endpoint was busy, as expected"),
  /** The answer began in time but paused for longer than the target. */
  PAUSED("late: a pause midway through the answer"),
  /** Refused: it did not run. */
  REFUSED("refused"),
  /** Failed: it may have run. */
  FAILED("failed"),
  /** The answer was cut off. */
  CUT("answer cut off"),
  /** The caller left. */
  LEFT("the caller left");

  /** Share of the time at the endpoint beyond which an excess means slow, not busy. */
  private static final double SLOW_EXCESS_SHARE = 0.5;

  private final String label;

  Loss(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }

  /** Returns a detail that subdivides the class, or an empty string if there is none. */
  String detail(RequestTrace trace) {
    return switch (this) {
      case REFUSED -> kind(trace) + trace.shortage();
      case FAILED -> kind(trace);
      case LEFT -> trace.isStream() ? "midway" : "before the answer began";
      default -> "";
    };
  }

  private static String kind(RequestTrace trace) {
    return trace.outcome().substring(trace.outcome().indexOf('_') + 1);
  }

  static Loss of(RequestTrace trace) {
    String outcome = trace.outcome();
    if (outcome.startsWith("refused")) {
      return REFUSED;
    }
    if (outcome.startsWith("cut")) {
      return CUT;
    }
    if (outcome.equals("caller_left")) {
      return LEFT;
    }
    if (!trace.wasAnswered()) {
      return FAILED;
    }
    if (trace.isLate()) {
      return ofLate(trace);
    }
    return trace.hasLongPause() ? PAUSED : NONE;
  }

  private static Loss ofLate(RequestTrace trace) {
    long place = trace.slotWaitMs();
    long load = trace.loadWaitMs();
    long turn = trace.turnWaitMs();
    long again = trace.failedAttemptsMs();
    long endpoint = trace.atEndpointMs();
    long most = Math.max(Math.max(Math.max(place, load), turn), Math.max(again, endpoint));
    if (most == endpoint) {
      boolean slow = trace.excessMs() > SLOW_EXCESS_SHARE * endpoint;
      return slow ? SLOW_ENDPOINT : BUSY_ENDPOINT;
    }
    if (most == again) {
      return RETRIED;
    }
    if (most == turn) {
      return TURN;
    }
    return most == place ? SLOT : LOAD;
  }
}
