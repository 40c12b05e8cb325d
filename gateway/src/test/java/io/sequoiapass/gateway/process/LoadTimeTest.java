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
      private LoadUnderWay load;
      private long expectedAt;
      private double shareLeft = 1;
      private long thereAt;
      private boolean served;
    }

    Store(double aloneMs, int width) {
      this.aloneMs = aloneMs;
      this.width = width;
    }

    @Override
    public int coming(long now) {
      return (int) loads.stream().filter(load -> load.expectedAt > now).count();
    }

    void begin(LoadTime time, long now) {
      Load load = new Load();
      int underWay = time.underWay(now);
      long expectedMs = time.nextStoreMs(underWay);
      load.load = new LoadUnderWay(now, underWay, false, 0, expectedMs);
      load.expectedAt = now + expectedMs;
      loads.add(load);
    }

    /** Advances the simulation by one millisecond. */
    void pass(LoadTime time, long now) {
      long running = loads.stream().filter(load -> load.thereAt == 0).count();
      double stretch = Math.max(1, (double) running / width);
      for (Load load : loads) {
        if (load.thereAt == 0) {
          load.shareLeft -= 1 / (aloneMs * stretch);
          load.thereAt = load.shareLeft <= 0 ? now : 0;
        }
        if (now % 150 == 0 && load.expectedAt > now) {
          load.expectedAt = now + load.load.advance(time, now);
        }
        if (!load.served && load.expectedAt <= now) {
          ask(load, time, now);
        }
      }
      loads.removeIf(load -> load.load.settle(time, depth, load.expectedAt, now));
    }

    private void ask(Load load, LoadTime time, long now) {
      if (load.thereAt == 0) {
        refused++;
        load.expectedAt = now + load.load.refused(time, depth, now);
        return;
      }
      load.load.tried();
      load.served = true;
      served++;
      waitedMs += now - load.thereAt;
    }

    /** Starts a load every {@code eachMs} milliseconds. */
    void play(LoadTime time, long from, long until, long eachMs) {
      refused = 0;
      served = 0;
      waitedMs = 0;
      for (long now = from; now < until; now++) {
        if (now % eachMs == 0) {
          begin(time, now);
        }
        pass(time, now);
      }
    }
  }

  private static void assertLearned(double aloneMs, int width, long eachMs) {
    Store store = new Store(aloneMs, width);
    LoadTime time = new LoadTime(store);

    store.play(time, 0, 8_000, eachMs);
    store.play(time, 8_000, 16_000, eachMs);

    assertThat((double) store.refused / store.served).as("refused").isLessThan(0.15);
    assertThat((double) store.waitedMs / store.served)
        .as("waited for nothing, in ms")
        .isLessThan(0.15 * aloneMs);
  }

  @Nested
  class WrongGuess {

    @Test
    void storeThatIsFourTimesAsFastIsLearned() {
      assertLearned(64, 8, 100);
    }

    @Test
    void storeThatIsFourTimesAsSlowIsLearned() {
      assertLearned(1_020, 64, 100);
    }

    @Test
    void wideStoreIsNotTakenForNarrow() {
      assertLearned(250, 100, 20);
    }

    @Test
    void narrowStoreIsNotTakenForWide() {
      Store store = new Store(250, 4);
      LoadTime time = new LoadTime(store);

      store.play(time, 0, 10_000, 70);

      assertThat(time.storeMs(1)).isLessThan(400);
    }
  }

  @Test
  void changeIsFollowed() {
    Store store = new Store(250, 8);
    LoadTime time = new LoadTime(store);
    store.play(time, 0, 5_000, 100);
    long before = time.storeMs(3);
    for (int i = 0; i < 4; i++) {
      time.storeEarly(3, 500);
    }
    long slow = time.storeMs(3);
    store.play(time, 5_000, 13_000, 100);

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
  void expectedTimeStaysBoundedWhileRequestsComeEarly() {
    Store store = new Store(250, 8);
    LoadTime time = new LoadTime(store);
    long longest = 0;
    for (long now = 0; now < 20_000; now += 36) {
      long takesMs = time.storeMs(now);
      store.begin(time, now);
      longest = Math.max(longest, takesMs);
      int beside = time.underWay(now);
      if (now % 108 == 0) {
        time.storeEarly(beside, takesMs);
      } else {
        time.storeInTime(beside, takesMs);
      }
    }

    assertThat(longest).isLessThanOrEqualTo(1_500);
  }

  @Test
  void memoryIsLearnedApartFromTheStore() {
    LoadTime time = new LoadTime(now -> 0);
    time.memoryEarly(60);
    time.memoryEarly(60);

    assertThat(time.memoryMs()).isBetween(45L, 70L);
    assertThat(time.storeMs(1)).isEqualTo(255);
  }

  /** Guards against failed trials that use up the shared retry budget. */
  @Nested
  class SteadyStore {

    private static final double TRUE_MS = 250;
    private static final int ITEMS = 4_000;

    private int earlyOf(ArrivalTime time, double trueMs) {
      int early = 0;
      for (int item = 0; item < ITEMS; item++) {
        double expectedMs = time.next();
        if (expectedMs < trueMs) {
          early++;
          time.early(expectedMs);
        } else {
          time.inTime(expectedMs);
        }
      }
      return early;
    }

    @Test
    void isTriedLessAndLessOften() {
      assertThat(earlyOf(new ArrivalTime(TRUE_MS), TRUE_MS)).isLessThan(ITEMS / 100);
    }

    @Test
    void thatBecomesFasterIsStillFollowed() {
      ArrivalTime time = new ArrivalTime(TRUE_MS);
      earlyOf(time, TRUE_MS);
      earlyOf(time, TRUE_MS / 4);

      assertThat(time.millis()).isLessThan(1.1 * TRUE_MS / 4);
    }
  }
}
