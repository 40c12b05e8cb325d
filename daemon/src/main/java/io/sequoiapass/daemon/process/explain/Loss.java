package io.sequoiapass.daemon.process.explain;

/** Tells what became of a request, and for a late one what took most of its time. */
enum Loss {
  /** Answered within the route's wanted time, with no longer pause than wanted. */
  NONE("in time"),
  /** Late; most of the time there was no place for its adapter at any engine. */
  PLACE("late: waited for a place for its adapter"),
  /** Late; most of the time its adapter was on its way. */
  LOAD("late: waited for its adapter to arrive"),
  /** Late; most of the time went to endpoints that refused or lost it. */
  SENT_AGAIN("late: sent again after a refusal or a loss"),
  /** Late; the endpoint took much longer than was expected. */
  SLOW_ENDPOINT("late: the endpoint took longer than expected"),
  /** Late; the endpoint took as long as was expected. */
  BUSY_ENDPOINT("late: the endpoint was known to be busy"),
  /** The answer began in time and paused for too long. */
  PAUSED("late: a pause midway"),
  /** Refused: it did not run. */
  REFUSED("refused"),
  /** Failed: it may have run. */
  FAILED("failed"),
  /** An answer that was broken off. */
  CUT("broken off midway"),
  /** The caller left. */
  LEFT("the caller left");

  /** An endpoint that takes this share longer than expected is slow, not busy. */
  private static final double SLOW_SHARE = 0.5;

  private final String label;

  Loss(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }

  /** Returns the further word that tells requests of the same kind apart; empty if none does. */
  String detail(RequestTrail trail) {
    return switch (this) {
      case REFUSED, FAILED -> trail.outcome().substring(trail.outcome().indexOf('_') + 1);
      case LEFT -> trail.isStream() ? "midway" : "before anything came";
      default -> "";
    };
  }

  static Loss of(RequestTrail trail) {
    String outcome = trail.outcome();
    if (outcome.startsWith("refused")) {
      return REFUSED;
    }
    if (outcome.startsWith("cut")) {
      return CUT;
    }
    if (outcome.equals("caller_left")) {
      return LEFT;
    }
    if (!trail.wasAnswered()) {
      return FAILED;
    }
    if (trail.isLate()) {
      return ofLate(trail);
    }
    return trail.paused() ? PAUSED : NONE;
  }

  private static Loss ofLate(RequestTrail trail) {
    long place = trail.waitedForPlaceMs();
    long load = trail.waitedForLoadMs();
    long again = trail.sentAgainMs();
    long endpoint = trail.atEndpointMs();
    long most = Math.max(Math.max(place, load), Math.max(again, endpoint));
    if (most == endpoint) {
      boolean slow = trail.beyondExpectedMs() > SLOW_SHARE * endpoint;
      return slow ? SLOW_ENDPOINT : BUSY_ENDPOINT;
    }
    if (most == again) {
      return SENT_AGAIN;
    }
    return most == place ? PLACE : LOAD;
  }
}
