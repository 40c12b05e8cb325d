package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.version.UsageLimit;
import io.sequoiapass.coordination.version.Workspace;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * Plays callers of one workspace against daemons with throttles and one coordinator in each data
 * centre, over links that a test may cut, and sums up what is admitted in every window.
 */
final class UsageFleet {

  static final WorkspaceId ID = new WorkspaceId("yards");
  static final int DATA_CENTRES = 3;
  static final int DAEMONS = 30;
  static final long ROUND_MS = 450;
  static final long STEP_MS = 10;
  static final double RATE = 567_000;
  static final int WINDOW_MS = 8_000;

  /** What the platform allows beyond rate and burst, for the lag of reports. */
  static final double ALLOWED_OVERSHOOT = 1.1;

  /** Units that it allows in addition, in any window. */
  static final double SLACK = 72_000;

  private final long seed;
  private final Random random;
  private final List<UsageThrottle> throttles = new ArrayList<>();
  private final List<UsageAllocator> allocators = new ArrayList<>();
  private final UsageReporter[][] reporters = new UsageReporter[DAEMONS][DATA_CENTRES];
  private final boolean[][] linked = new boolean[DAEMONS][DATA_CENTRES];
  private final List<double[]> admitted = new ArrayList<>();
  double rate = RATE;
  double asked;
  private long now;

  UsageFleet(long seed) {
    this.seed = seed;
    random = new Random(seed);
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      throttles.add(new UsageThrottle(random::nextDouble));
      for (int dc = 0; dc < DATA_CENTRES; dc++) {
        reporters[daemon][dc] = new UsageReporter();
        linked[daemon][dc] = true;
      }
    }
    for (int dc = 0; dc < DATA_CENTRES; dc++) {
      allocators.add(newAllocator());
    }
  }

  private UsageAllocator newAllocator() {
    return new UsageAllocator(DATA_CENTRES, WINDOW_MS, id -> limit(), now);
  }

  private UsageLimit limit() {
    return new UsageLimit(UsageLimit.Unit.TOKENS, rate, rate, 200);
  }

  private static DaemonId daemon(int index) {
    return new DaemonId("daemon-" + index);
  }

  private static DataCentreId dataCentre(int index) {
    return new DataCentreId("dc-" + index % DATA_CENTRES);
  }

  void cut(int daemon, int dc) {
    if (linked[daemon][dc]) {
      linked[daemon][dc] = false;
      throttles.get(daemon).lost(dataCentre(dc));
      allocators.get(dc).lost(daemon(daemon), now);
    }
  }

  /** Cuts the links between a daemon and a data centre's coordinator for which the test holds. */
  void cutAll(BiPredicate<Integer, Integer> test) {
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      for (int dc = 0; dc < DATA_CENTRES; dc++) {
        if (test.test(daemon, dc)) {
          cut(daemon, dc);
        }
      }
    }
  }

  void mend(int daemon, int dc) {
    if (!linked[daemon][dc]) {
      linked[daemon][dc] = true;
      reporters[daemon][dc].reset(throttles.get(daemon).totals());
    }
  }

  /** Replaces a coordinator by one that knows nothing. */
  void replaceCoordinator(int dc) {
    allocators.set(dc, newAllocator());
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      cut(daemon, dc);
      mend(daemon, dc);
    }
  }

  /** Callers ask a multiple of the limit, half of it of a tenth of the daemons. */
  void play(long ms, double timesLimit) {
    Workspace workspace = new Workspace(ID, Set.of(), OptionalInt.empty(), limit());
    double due = 0;
    for (long end = now + ms; now < end; now += STEP_MS) {
      double units = 0;
      due += timesLimit * RATE * STEP_MS / 1_000.0;
      while (due > 0) {
        long cost = random.nextInt(10) < 6 ? 9_244 : 1_120;
        int daemon = random.nextInt(random.nextBoolean() ? DAEMONS / 10 : DAEMONS);
        due -= cost;
        asked += cost;
        if (throttles.get(daemon).admit(workspace, cost, now).isEmpty()) {
          units += cost;
        }
      }
      admitted.add(new double[] {now, units});
      if (now % ROUND_MS == 0) {
        exchange();
      }
    }
  }

  /** Replaces a coordinator, cuts a link or mends one each second, for ten seconds. */
  void playReplacedCoordinatorsAndFlakyLinks(double timesLimit) {
    play(6_000, timesLimit);
    Random events = new Random(seed);
    for (int i = 0; i < 10; i++) {
      int daemon = events.nextInt(DAEMONS);
      int dc = events.nextInt(DATA_CENTRES);
      if (events.nextInt(5) == 0) {
        replaceCoordinator(dc);
      } else if (events.nextBoolean()) {
        cut(daemon, dc);
      } else {
        mend(daemon, dc);
      }
      play(1_000, timesLimit);
    }
  }

  private void exchange() {
    for (int dc = 0; dc < DATA_CENTRES; dc++) {
      List<WorkspaceShare> shares =
          allocators.get(dc).allocate(now).stream()
              .map(one -> new WorkspaceShare(one.workspace(), one.share()))
              .toList();
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        if (linked[daemon][dc]) {
          throttles
              .get(daemon)
              .update(
                  dataCentre(dc), shares, allocators.get(dc).hasCountedAWindow(now), DAEMONS, now);
          List<WorkspaceUsage> report = reporters[daemon][dc].next(throttles.get(daemon).totals());
          allocators.get(dc).report(daemon(daemon), dataCentre(daemon), report, now);
        }
      }
    }
  }

  double admittedBetween(long from, long until) {
    return admitted.stream()
        .filter(step -> step[0] >= from && step[0] < until)
        .mapToDouble(step -> step[1])
        .sum();
  }

  /** Returns the most that was admitted in any window, as a share of what is allowed. */
  double worstWindow() {
    int steps = (int) (WINDOW_MS / STEP_MS);
    double sum = 0;
    double worst = 0;
    for (int i = 0; i < admitted.size(); i++) {
      sum += admitted.get(i)[1];
      sum -= i >= steps ? admitted.get(i - steps)[1] : 0;
      worst = Math.max(worst, sum);
    }
    double allowed = (RATE * WINDOW_MS / 1_000 + RATE) * ALLOWED_OVERSHOOT + SLACK;
    return worst / allowed;
  }
}
