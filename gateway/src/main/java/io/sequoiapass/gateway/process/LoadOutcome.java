package io.sequoiapass.gateway.process;

import java.util.Locale;

/** What became of a load request at a coordinator. */
enum LoadOutcome {
  /** It got a slot. */
  ASSIGNED,
  /** It was rejected because no slot is expected in time. */
  REJECTED,
  /** It was removed from the queue because no request waits for it any more. */
  WITHDRAWN,
  /** It was queued at the place of its first arrival, after a rejection. */
  RETURNED;

  /** Returns the name in metrics and logs. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Receives outcomes. */
  @FunctionalInterface
  interface Listener {

    /** Called for each outcome, with the priority of the load. */
    void ended(LoadOutcome outcome, int priority);
  }
}
