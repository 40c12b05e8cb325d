package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import org.junit.jupiter.api.Test;

class PlacementUpdateBatchTest {

  private static final EndpointId ENGINE = new EndpointId("engine-1");
  private static final AdapterName ADAPTER =
      new AdapterName(new ModelId("base"), new AdapterId("a1"));

  private final PlacementUpdateBatch updateBatch = new PlacementUpdateBatch();

  private static Placement ready(long inMs) {
    return new Placement(ENGINE, ADAPTER, 1, inMs);
  }

  @Test
  void arrivalIsRelativeToTheDrain() {
    updateBatch.add(List.of(ready(250)), 1_000);

    assertThat(updateBatch.drain(1_150)).containsExactly(ready(100));
    assertThat(updateBatch.drain(1_300)).isEmpty();
  }

  @Test
  void laterUpdateReplacesTheEarlierOne() {
    updateBatch.add(List.of(ready(250)), 1_000);
    updateBatch.add(List.of(ready(-1)), 1_100);

    assertThat(updateBatch.drain(1_150)).containsExactly(ready(-1));
  }

  @Test
  void overdueArrivalIsZero() {
    updateBatch.add(List.of(ready(50)), 1_000);

    assertThat(updateBatch.drain(1_450)).containsExactly(ready(0));
  }
}
