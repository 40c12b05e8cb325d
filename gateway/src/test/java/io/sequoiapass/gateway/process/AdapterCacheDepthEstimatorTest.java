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

  private static final int SLOTS = 8;

  /** An engine's cache and the coordinator's model of it. */
  private static final class Memory {

    private final int size;
    private final Set<Integer> cached = new LinkedHashSet<>();
    private final AdapterCacheModel model;
    private final AdapterCacheDepthEstimator depth;
    private int refused;
    private int missed;

    Memory(int size) {
      this.size = size;
      this.depth = new AdapterCacheDepthEstimator(SLOTS);
      this.model = new AdapterCacheModel(depth::reach);
    }

    void load(int number) {
      boolean wasCached = cached.remove(number);
      boolean expected = model.isCached(adapter(number));
      if (expected && wasCached) {
        depth.cached(model.depth(adapter(number)));
      } else if (expected) {
        depth.notCached(model.depth(adapter(number)));
        refused++;
      } else if (wasCached) {
        missed++;
      }
      cached.add(number);
      if (cached.size() > size) {
        cached.remove(cached.iterator().next());
      }
      model.held(adapter(number));
    }
  }

  private static Memory simulate(int size) {
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
  void largeCacheIsDetected() {
    Memory memory = simulate(120);

    assertThat(memory.depth.reach()).isBetween(100, 135);
    assertThat(memory.missed).isLessThan(30);
    assertThat(memory.refused).isLessThan(30);
  }

  @Test
  void smallCacheIsDetected() {
    Memory memory = simulate(9);

    assertThat(memory.depth.reach()).isBetween(7, 13);
    assertThat(memory.refused).isLessThan(30);
  }

  @Test
  void depthCountsAdaptersHeldSince() {
    AdapterCacheModel cached = new AdapterCacheModel(() -> 10);
    for (int i = 1; i <= 4; i++) {
      cached.held(adapter(i));
    }
    cached.held(adapter(2));

    assertThat(cached.depth(adapter(2))).isZero();
    assertThat(cached.depth(adapter(3))).isEqualTo(2);
    assertThat(cached.depth(adapter(1))).isEqualTo(3);
  }
}
