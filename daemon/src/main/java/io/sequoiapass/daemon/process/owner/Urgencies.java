package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.daemon.process.placement.Urgency;

/** Maps priorities of requests to urgencies of the placement. */
final class Urgencies {

  private Urgencies() {}

  static Urgency of(Priority priority) {
    return switch (priority) {
      case DEADLINE -> Urgency.DEADLINE;
      case INTERACTIVE -> Urgency.INTERACTIVE;
      case BATCH -> Urgency.BATCH;
    };
  }
}
