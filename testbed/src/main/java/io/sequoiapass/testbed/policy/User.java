package io.sequoiapass.testbed.policy;

import io.sequoiapass.daemon.process.placement.Urgency;
import java.util.Random;

/** Request profile of a user: rate, lengths of answers and mix of urgencies. */
enum User {
  /** Short notes and slips, mostly interactive because drivers wait for them. */
  YARDS(160, 10, 0.15, 0.75),
  /** Long summaries for billing, mixed with short lookups before a hearing. */
  COOPERATIVA(400, 6, 0.25, 0.25);

  private static final long DEADLINE_MS = 3_000;
  private static final long INTERACTIVE_MS = 10_000;
  private static final long BATCH_MS = 60_000;

  /** Ratio of the mean answer length to that of a lookup. */
  private static final int LOOKUP_DIVISOR = 4;

  private final int meanTokens;
  private final double rate;
  private final double deadlineShare;
  private final double interactiveShare;

  User(int meanTokens, double rate, double deadlineShare, double interactiveShare) {
    this.meanTokens = meanTokens;
    this.rate = rate;
    this.deadlineShare = deadlineShare;
    this.interactiveShare = interactiveShare;
  }

  double rate() {
    return rate;
  }

  Urgency urgency(Random random) {
    double draw = random.nextDouble();
    if (draw < deadlineShare) {
      return Urgency.DEADLINE;
    }
    return draw < deadlineShare + interactiveShare ? Urgency.INTERACTIVE : Urgency.BATCH;
  }

  int tokens(Random random, Urgency urgency) {
    double mean = urgency == Urgency.DEADLINE ? meanTokens / LOOKUP_DIVISOR : meanTokens;
    return 1 + (int) Math.min(-mean * Math.log(1 - random.nextDouble()), mean * 8);
  }

  static long waitMs(Urgency urgency) {
    return switch (urgency) {
      case DEADLINE -> DEADLINE_MS;
      case INTERACTIVE -> INTERACTIVE_MS;
      case BATCH -> BATCH_MS;
    };
  }
}
