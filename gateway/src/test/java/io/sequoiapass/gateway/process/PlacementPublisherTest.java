package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.ENGINE;
import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.List;
import org.junit.jupiter.api.Test;

class PlacementPublisherTest {

  private static final List<LinkMessage.Placement> LOADING =
      List.of(placement(1, 250), placement(2, 250));

  private static LinkMessage.Placement placement(int number, long readyInMs) {
    return new LinkMessage.Placement(ENGINE, adapter(number), 1, readyInMs);
  }

  @Test
  void firstSubscriberIsToldTheExpectedTimeAndOthersALaterOne() {
    assertThat(PlacementPublisher.update(LOADING, any -> true, adapter(1)::equals))
        .containsExactly(placement(1, 250), placement(2, 250 + CanaryRequests.REJECTION_MS));
  }

  @Test
  void daemonIsToldOnlyWhatItWants() {
    assertThat(PlacementPublisher.update(LOADING, adapter(1)::equals, any -> true))
        .containsExactly(placement(1, 250));
  }

  @Test
  void adapterThatIsHeldOrRemovedIsReportedAsItIs() {
    List<LinkMessage.Placement> changes = List.of(placement(1, 0), placement(2, -1));

    assertThat(PlacementPublisher.update(changes, any -> true, any -> false)).isEqualTo(changes);
  }
}
