package io.sequoiapass.testbed.policy;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.daemon.process.placement.Urgency;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Generates the arrivals of one run, which are the same for each policy. */
final class Workload {

  static final ModelId MAIN = new ModelId("main");
  static final ModelId SECOND = new ModelId("second");

  /** Arrival of a request. */
  record Arrival(
      int index,
      double atMs,
      AdapterVersion adapter,
      ModelId model,
      Urgency urgency,
      int tokens,
      long deadlineMs) {}

  private Workload() {}

  static List<Arrival> generate(SimulationConfig config, Scenario scenario, long seed) {
    Random random = new Random(seed);
    int second = Math.max(1, (int) (config.adapters() * SimulationConfig.SECOND_MODEL_SHARE));
    Popularity main = new Popularity("m", config.adapters(), config.zipf(), random);
    Popularity other = new Popularity("s", second, config.zipf(), random);
    List<Arrival> arrivals = new ArrayList<>();
    boolean flipped = false;
    double now = 0;
    while (true) {
      boolean secondHalf = now >= config.measurementMidpointMs();
      now -=
          Math.log(1 - random.nextDouble())
              * 1000
              / config.rate()
              / scenario.rateFactor(secondHalf);
      if (now >= config.endMs()) {
        return arrivals;
      }
      if (scenario == Scenario.FLIP && !flipped && now >= config.measurementMidpointMs()) {
        main.shuffle(random);
        other.shuffle(random);
        flipped = true;
      }
      boolean isMain = random.nextDouble() >= SimulationConfig.SECOND_MODEL_SHARE;
      AdapterVersion adapter = (isMain ? main : other).draw(random);
      Urgency urgency = config.user().urgency(random);
      int tokens = config.user().tokens(random, urgency);
      long deadline = (long) now + User.waitMs(urgency);
      arrivals.add(
          new Arrival(
              arrivals.size(), now, adapter, isMain ? MAIN : SECOND, urgency, tokens, deadline));
    }
  }

  /** Zipf distribution over adapters. */
  private static final class Popularity {
    private final List<AdapterVersion> byRank = new ArrayList<>();
    private final double[] cumulative;

    Popularity(String prefix, int count, double exponent, Random random) {
      cumulative = new double[count];
      double sum = 0;
      for (int rank = 0; rank < count; rank++) {
        sum += Math.pow(rank + 1, -exponent);
        cumulative[rank] = sum;
        byRank.add(AdapterVersion.parse(prefix + rank + "@v1"));
      }
      shuffle(random);
    }

    void shuffle(Random random) {
      Collections.shuffle(byRank, random);
    }

    AdapterVersion draw(Random random) {
      double draw = random.nextDouble() * cumulative[cumulative.length - 1];
      int found = Arrays.binarySearch(cumulative, draw);
      return byRank.get(found >= 0 ? found : -found - 1);
    }
  }
}
