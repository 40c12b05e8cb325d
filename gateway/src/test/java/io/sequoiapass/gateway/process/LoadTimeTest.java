package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

class LoadTimeTest {

  private static final int ENGINES = 13;

  /** Loads that are expected to be under way. */
  private static final class Expected implements LoadTime.Traffic {

    private final Deque<Long> ends = new ArrayDeque<>();

    @Override
    public int coming(long now) {
      ends.removeIf(end -> end <= now);
      return ends.size();
    }

    @Override
    public int engines() {
      return ENGINES;
    }
  }

  private final Expected expected = new Expected();
  private final LoadTime time = new LoadTime(expected);

  @Test
  void loadAloneTakesAboutAQuarterSecond() {
    assertThat(time.storeMs(0)).isBetween(200L, 300L);
  }

  /**
   * Callers of a heavy day wait for their adapters: 28 loads a second, and each third request comes
   * too early. The expected time must not feed on itself: a longer one makes more loads count as
   * under way, which would make the next one longer still, until callers wait for seconds.
   */
  @Test
  void expectedTimeStaysBoundedWhileRequestsComeEarly() {
    long longest = 0;
    for (long now = 0; now < 20_000; now += 36) {
      long takesMs = time.storeMs(now);
      expected.ends.add(now + takesMs);
      longest = Math.max(longest, takesMs);
      if (now % 108 == 0) {
        time.early();
      }
      if (now % 144 == 0) {
        time.relax();
      }
    }

    assertThat(longest).isLessThanOrEqualTo(1_500);
  }
}
