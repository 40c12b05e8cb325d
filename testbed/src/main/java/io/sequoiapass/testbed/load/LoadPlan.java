package io.sequoiapass.testbed.load;

import io.sequoiapass.testbed.launch.ClusterNames;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Parameters of a random open-loop load; generates its requests.
 *
 * <p>Each request is sent at its scheduled time, however late the answers are, as independent
 * callers do. Two plans with the same settings and seed generate the same requests. Instances are
 * immutable and safe for use by several threads.
 *
 * @param seconds duration of the load, in seconds
 * @param rate mean arrival rate, in requests per second
 * @param adapters number of adapters that are requested
 * @param skew Zipf skew of the adapters' popularity
 * @param meanTokens mean number of tokens of an answer
 * @param plainShare fraction of requests that call the plain service
 * @param onceShare fraction of completions that must not run twice
 * @param formerShare fraction of completions that request the version before the current one
 * @param seed seed of the random numbers
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

  /** Generates the requests, ordered by send time. */
  public List<PlannedRequest> requests() {
    Random random = new Random(seed);
    ZipfDistribution popularity = new ZipfDistribution(adapters, skew);
    List<PlannedRequest> requests = new ArrayList<>();
    double atSeconds = 0;
    while (true) {
      // Exponential gaps: the arrivals of many independent callers form a Poisson process.
      atSeconds += -Math.log(1 - random.nextDouble()) / rate;
      if (atSeconds >= seconds) {
        return requests;
      }
      String id = "load-" + seed + "-" + requests.size();
      requests.add(request(id, (long) (atSeconds * MICROS_PER_SECOND), popularity, random));
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
    Optional<String> version =
        former ? Optional.of(ClusterNames.PREVIOUS_VERSION) : Optional.empty();
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
