package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadingSpeedEstimatorTest {

  private static final double TOKENS_PER_MS = 44;
  private static final long PROMPT_TOKENS = 9_000;
  private static final double READING_MS = PROMPT_TOKENS / TOKENS_PER_MS;

  private final ReadingSpeedEstimator estimator = new ReadingSpeedEstimator(25);

  @Nested
  class FirstSamples {

    @Test
    void replaceTheGuess() {
      estimator.sample(PROMPT_TOKENS, READING_MS, 1);

      assertThat(estimator.tokensPerMs()).isCloseTo(TOKENS_PER_MS, within(0.01));
    }

    @Test
    void countForAnEngineOfAverageSpeed() {
      estimator.sample(PROMPT_TOKENS, 2 * READING_MS, 2);

      assertThat(estimator.tokensPerMs()).isCloseTo(TOKENS_PER_MS, within(0.01));
    }
  }

  /** Guards against turns that end because the estimate falls when they are needed most. */
  @Nested
  class UnderLoad {

    private static final int REQUESTS = 2_000;

    @Test
    void estimateHoldsWhileSomePromptsMeetUnknownOnes() {
      Random random = new Random(7);
      for (int i = 0; i < REQUESTS; i++) {
        double drawn = random.nextDouble();
        double ratio = drawn < 0.3 ? 1 + 2 * random.nextDouble() : drawn < 0.5 ? 0.4 : 1;
        estimator.sample(PROMPT_TOKENS, READING_MS * ratio, 1);
      }

      assertThat(estimator.tokensPerMs()).isCloseTo(TOKENS_PER_MS, within(0.15 * TOKENS_PER_MS));
    }
  }
}
