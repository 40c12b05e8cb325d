package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadTimeTest {

  /**
   * Simulates a weight store that slows down beyond a number of concurrent loads, with one caller
   * per load.
   */
  private static final class Store implements LoadTime.Traffic {

    private final double aloneMs;
    private final int width;
    private final AdapterCacheDepthEstimator depth = new AdapterCacheDepthEstimator(8);
    private final List<Load> loads = new ArrayList<>();
    private int refused;
    private int served;
    private long waitedMs;

    private static final class Load {
      private LoadInProgress load;
      private long expectedAt;
      private double shareLeft = 1;
      private long arrivedAt;
      private boolean served;
    }

    Store(double aloneMs, int width) {
      this.aloneMs = aloneMs;
      this.width = width;
    }

    @Override
    public int loadsInProgress(long now) {
      return (int) loads.stream().filter(load -> load.expectedAt > now).count();
    }

    void begin(LoadTime time, long now) {
      Load load = new Load();
      int concurrentLoads = time.concurrentLoads(now);
      long expectedMs = time.nextStoreMs(concurrentLoads);
      load.load = new LoadInProgress(now, concurrentLoads, false, 0, expectedMs);
      load.expectedAt = now + expectedMs;
      loads.add(load);
    }

    /** Advances the simulation by one millisecond. */
    void advance(LoadTime time, long now) {
      long running = loads.stream().filter(load -> load.arrivedAt == 0).count();
      double stretch = Math.max(1, (double) running / width);
      for (Load load : loads) {
        if (load.arrivedAt == 0) {
          load.shareLeft -= 1 / (aloneMs * stretch);
          load.arrivedAt = load.shareLeft <= 0 ? now : 0;
        }
        if (now % 150 == 0 && load.expectedAt > now) {
          load.expectedAt = now + load.load.advance(time, now);
        }
        if (!load.served && load.expectedAt <= now) {
          sendRequest(load, time, now);
        }
      }
      loads.removeIf(load -> load.load.settle(time, depth, load.expectedAt, now));
    }

    private void sendRequest(Load load, LoadTime time, long now) {
      if (load.arrivedAt == 0) {
        refused++;
        load.expectedAt = now + load.load.refused(time, depth, now);
        return;
      }
      load.load.requestSent();
      load.served = true;
      served++;
      waitedMs += now - load.arrivedAt;
    }

    /** Starts a load every {@code eachMs} milliseconds. */
    void simulate(LoadTime time, long from, long until, long eachMs) {
      refused = 0;
      served = 0;
      waitedMs = 0;
      for (long now = from; now < until; now++) {
        if (now % eachMs == 0) {
          begin(time, now);
        }
        advance(time, now);
      }
    }
  }

  private static void assertLearned(double aloneMs, int width, long eachMs) {
    Store store = new Store(aloneMs, width);
    LoadTime time = new LoadTime(store);

    store.simulate(time, 0, 8_000, eachMs);
    store.simulate(time, 8_000, 16_000, eachMs);

    assertThat((double) store.refused / store.served).as("refused").isLessThan(0.15);
    assertThat((double) store.waitedMs / store.served)
        .as("waited for nothing, in ms")
        .isLessThan(0.15 * aloneMs);
  }

  @Nested
  class WrongGuess {

    @Test
    void fourTimesFasterStoreIsLearned() {
      assertLearned(64, 8, 100);
    }

    @Test
    void fourTimesSlowerStoreIsLearned() {
      assertLearned(1_020, 64, 100);
    }

    @Test
    void storeWithManyFastLoadsIsLearned() {
      assertLearned(250, 100, 20);
    }

    @Test
    void storeWithFewFastLoadsDoesNotSlowDownSingleLoads() {
      Store store = new Store(250, 4);
      LoadTime time = new LoadTime(store);

      store.simulate(time, 0, 10_000, 70);

      assertThat(time.storeMs(1)).isLessThan(400);
    }
  }

  @Test
  void changeIsFollowed() {
    Store store = new Store(250, 8);
    LoadTime time = new LoadTime(store);
    store.simulate(time, 0, 5_000, 100);
    long before = time.storeMs(3);
    for (int i = 0; i < 4; i++) {
      time.storeMissingAt(3, 500);
    }
    long slow = time.storeMs(3);
    store.simulate(time, 5_000, 13_000, 100);

    assertThat(before).isBetween(245L, 290L);
    assertThat(slow).isGreaterThanOrEqualTo(400);
    assertThat(time.storeMs(3)).isBetween(245L, 290L);
  }

  /**
   * Guards against an estimate that grows by its own feedback: a longer estimate makes more loads
   * count as in progress, which makes the next estimate longer. Here 28 loads begin per second, and
   * each third request is sent too early.
   */
  @Test
  void estimateStaysBoundedWhileRequestsAreEarly() {
    Store store = new Store(250, 8);
    LoadTime time = new LoadTime(store);
    long longest = 0;
    for (long now = 0; now < 20_000; now += 36) {
      long takesMs = time.storeMs(now);
      store.begin(time, now);
      longest = Math.max(longest, takesMs);
      int concurrentLoads = time.concurrentLoads(now);
      if (now % 108 == 0) {
        time.storeMissingAt(concurrentLoads, takesMs);
      } else {
        time.storeArrivedBy(concurrentLoads, takesMs);
      }
    }

    assertThat(longest).isLessThanOrEqualTo(1_500);
  }

  @Test
  void memoryEstimateIsIndependentOfTheStore() {
    LoadTime time = new LoadTime(now -> 0);
    time.memoryMissingAt(60);
    time.memoryMissingAt(60);

    assertThat(time.memoryMs()).isBetween(45L, 70L);
    assertThat(time.storeMs(1)).isEqualTo(255);
  }

  /** Guards against failed trials that use up the shared retry budget. */
  @Nested
  class SteadyStore {

    private static final double TRUE_MS = 250;
    private static final int ITEMS = 4_000;

    private int earlyOf(ArrivalTimeEstimator time, double trueMs) {
      int early = 0;
      for (int item = 0; item < ITEMS; item++) {
        double expectedMs = time.nextMillis();
        if (expectedMs < trueMs) {
          early++;
          time.missingAt(expectedMs);
        } else {
          time.arrivedBy(expectedMs);
        }
      }
      return early;
    }

    @Test
    void isTriedLessOften() {
      assertThat(earlyOf(new ArrivalTimeEstimator(TRUE_MS), TRUE_MS)).isLessThan(ITEMS / 100);
    }

    @Test
    void changeToAFasterStoreIsFollowed() {
      ArrivalTimeEstimator time = new ArrivalTimeEstimator(TRUE_MS);
      earlyOf(time, TRUE_MS);
      earlyOf(time, TRUE_MS / 4);

      assertThat(time.millis()).isLessThan(1.1 * TRUE_MS / 4);
    }
  }
}
