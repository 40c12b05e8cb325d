package io.sequoiapass.daemon.process.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class PlacementWeightsTest {

  @Test
  void batchPreferenceLowersDenseShare() {
    assertThat(PlacementWeights.BATCHES.denseShare())
        .isLessThan(PlacementWeights.STALLS.denseShare());
  }

  @Test
  void higherStallFactorRaisesDenseShare() {
    assertThat(PlacementWeights.BATCHES.times(4, 1).denseShare())
        .isEqualTo(PlacementWeights.STALLS.denseShare());
  }

  @Test
  void zeroWeightIsRejected() {
    assertThatThrownBy(() -> new PlacementWeights(0, 1)).hasMessageContaining("stall");
  }
}
