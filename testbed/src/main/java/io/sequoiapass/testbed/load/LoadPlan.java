package io.sequoiapass.testbed.load;

import io.sequoiapass.testbed.launch.ClusterNames;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Draws the requests of one load: when each comes, for which adapter, of which kind.
 *
 * <p>Open loop: a request comes at its time, however late answers are, as callers do. Two plans
 * with the same settings and seed are the same. Instances are immutable and safe for use by several
 * threads.
 *
 * @param seconds how long requests come
 * @param rate requests a second on average
 * @param adapters adapters that are asked for
 * @param skew skew of their popularity
 * @param meanTokens tokens of an answer on average
 * @param plainShare part of the requests that call the plain service
 * @param onceShare part of the completions that may not run twice
 * @param formerShare part of the completions that name the version before the one in force
 * @param seed seed of all that is drawn
 */
public record LoadPlan(
    int seconds,
    double rate,
    int adapters,
    double skew,
    int meanTokens,
    double plainShare,
    double onceShare,
    double formerShare,
    long seed) {

  private static final double DEADLINE_SHARE = 0.2;
  private static final double BATCH_SHARE = 0.2;
  private static final int MICROS_PER_SECOND = 1_000_000;

  /** Checks the settings. */
  public LoadPlan {
    if (seconds < 1 || !(rate > 0) || meanTokens < 1) {
      throw new IllegalArgumentException(
          "seconds, rate and mean tokens must be positive: "
              + seconds
              + ", "
              + rate
              + ", "
              + meanTokens);
    }
  }

  /** Returns the requests in the order of their times. */
  public List<PlannedRequest> requests() {
    Random random = new Random(seed);
    ZipfDistribution popularity = new ZipfDistribution(adapters, skew);
    List<PlannedRequest> requests = new ArrayList<>();
    double at = 0;
    while (true) {
      // Exponential gaps: many callers who know nothing of each other.
      at += -Math.log(1 - random.nextDouble()) / rate;
      if (at >= seconds) {
        return requests;
      }
      String id = "load-" + seed + "-" + requests.size();
      requests.add(request(id, (long) (at * MICROS_PER_SECOND), popularity, random));
    }
  }

  private PlannedRequest request(
      String id, long atMicros, ZipfDistribution popularity, Random random) {
    int rank = popularity.next(random);
    boolean plain = random.nextDouble() < plainShare;
    boolean once = random.nextDouble() < onceShare;
    boolean former = random.nextDouble() < formerShare;
    int tokens = 1 + random.nextInt(2 * meanTokens - 1);
    String priority = priority(random.nextDouble());
    if (plain) {
      return new PlannedRequest(
          id, atMicros, Optional.empty(), Optional.empty(), tokens, priority, false);
    }
    Optional<String> version = former ? Optional.of(ClusterNames.FORMER_VERSION) : Optional.empty();
    Optional<String> adapter = Optional.of(ClusterNames.adapter(rank));
    return new PlannedRequest(id, atMicros, adapter, version, tokens, priority, !once);
  }

  private static String priority(double drawn) {
    if (drawn < DEADLINE_SHARE) {
      return "DEADLINE";
    }
    return drawn < DEADLINE_SHARE + BATCH_SHARE ? "BATCH" : "INTERACTIVE";
  }
}
