package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FlowDemandCounterTest {

  private static final ServiceId SERVICE = new ServiceId("notes");
  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final Flow WHOLE = Flow.of(2, Optional.empty());

  private final FlowDemandCounter counter = new FlowDemandCounter(() -> false);

  private static FlowDemandCounter.Key key(int workspace) {
    Flow flow = Flow.of(2, Optional.of(new WorkspaceId("w" + workspace)));
    return new FlowDemandCounter.Key(SERVICE, flow, true);
  }

  private long now;

  private RoomMessage.DemandReport report() {
    now += FlowDemandCounter.USUAL_INTERVAL_MS;
    return (RoomMessage.DemandReport) counter.report(NORTH, now).orElseThrow();
  }

  @Test
  void reportsWhatHappenedSinceTheLastReport() {
    counter.report(NORTH, 0);
    counter.admitted(key(1));
    counter.admitted(key(1));
    counter.refused(key(1));
    counter.ended(key(1), true);

    assertThat(report().flows())
        .containsExactly(new RoomMessage.FlowDemand(SERVICE, key(1).flow(), true, 3, 1, 1));
    assertThat(report().flows()).isEmpty();
    assertThat(report().inFlight()).containsExactly(new RoomMessage.InFlight(SERVICE, 1));
  }

  /** Thousands of workspaces must not use memory, or the bytes for control. */
  @Test
  void foldsWorkspacesThatAskForLittle() {
    counter.report(NORTH, 0);
    counter.refused(key(0));
    counter.refused(key(0));
    for (int i = 0; i < 27_000; i++) {
      counter.refused(key(i));
    }

    RoomMessage.DemandReport report = report();
    assertThat(report.flows()).hasSizeLessThanOrEqualTo(FlowDemandCounter.USUAL_FLOWS + 1);
    assertThat(report.flows().stream().mapToInt(RoomMessage.FlowDemand::asked).sum())
        .isEqualTo(27_002);
    assertThat(report.flows()).anyMatch(one -> one.flow().equals(WHOLE));
    assertThat(report.flows()).anyMatch(one -> one.flow().equals(key(0).flow()));
  }

  /** What was asked while there was no link must not look like a burst. */
  @Test
  void startsAnewWithEachLink() {
    counter.report(NORTH, 0);
    counter.refused(key(1));
    counter.lost(NORTH, 0);
    counter.refused(key(1));

    assertThat(counter.report(NORTH, 5_000)).isEmpty();
  }
}
