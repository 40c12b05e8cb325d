package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Engines cache an unknown number of adapters in memory. With too small an estimate, callers wait
 * for loads from the weight store that are not needed; with too large a one, their requests are
 * sent too early and refused.
 */
class AdapterCacheDepthEstimatorTest {

  private static final int PLACES = 8;

  /** An engine's cache and the coordinator's model of it. */
  private static final class Memory {

    private final int size;
    private final Set<Integer> kept = new LinkedHashSet<>();
    private final AdapterCacheModel believed;
    private final AdapterCacheDepthEstimator depth;
    private int refused;
    private int missed;

    Memory(int size) {
      this.size = size;
      this.depth = new AdapterCacheDepthEstimator(PLACES);
      this.believed = new AdapterCacheModel(depth::reach);
    }

    void load(int number) {
      boolean there = kept.remove(number);
      boolean expected = believed.isCached(adapter(number));
      if (expected && there) {
        depth.kept(believed.depth(adapter(number)));
      } else if (expected) {
        depth.notCached(believed.depth(adapter(number)));
        refused++;
      } else if (there) {
        missed++;
      }
      kept.add(number);
      if (kept.size() > size) {
        kept.remove(kept.iterator().next());
      }
      believed.held(adapter(number));
    }
  }

  private static Memory played(int size) {
    Memory memory = new Memory(size);
    Random random = new Random(7);
    for (int i = 0; i < 3_000; i++) {
      memory.load((int) (Math.pow(random.nextDouble(), 3) * 400));
    }
    memory.refused = 0;
    memory.missed = 0;
    for (int i = 0; i < 1_000; i++) {
      memory.load((int) (Math.pow(random.nextDouble(), 3) * 400));
    }
    return memory;
  }

  @Test
  void largeMemoryIsFound() {
    Memory memory = played(120);

    assertThat(memory.depth.reach()).isBetween(100, 135);
    assertThat(memory.missed).isLessThan(30);
    assertThat(memory.refused).isLessThan(30);
  }

  @Test
  void smallMemoryIsFound() {
    Memory memory = played(9);

    assertThat(memory.depth.reach()).isBetween(7, 13);
    assertThat(memory.refused).isLessThan(30);
  }

  @Test
  void depthCountsWhatWasHeldSince() {
    AdapterCacheModel kept = new AdapterCacheModel(() -> 10);
    for (int i = 1; i <= 4; i++) {
      kept.held(adapter(i));
    }
    kept.held(adapter(2));

    assertThat(kept.depth(adapter(2))).isZero();
    assertThat(kept.depth(adapter(3))).isEqualTo(2);
    assertThat(kept.depth(adapter(1))).isEqualTo(3);
  }
}
