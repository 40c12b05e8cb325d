package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.Room;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionControlTest {

  private static final ServiceId SERVICE = new ServiceId("notes");
  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");
  private static final Flow FLOW = Flow.of(2, Optional.of(new WorkspaceId("w1")));
  private static final Flow ALL_OF_PRIORITY = Flow.of(2, Optional.empty());

  private final Set<DataCentreId> coordinators = new HashSet<>(Set.of(NORTH));
  private final AdmissionControl control =
      new AdmissionControl((service, now) -> coordinators, () -> 0.5);

  private void state(DataCentreId from, Room room, Flow flow, double share, long now) {
    RoomMessage.Shortage shortage =
        new RoomMessage.Shortage(
            SERVICE, room, 4, 1_000, List.of(new RoomMessage.FlowShare(flow, share)));
    control.receive(from, new RoomMessage.Shortages(List.of(shortage)), now);
  }

  private boolean admits(boolean adapterHeld, long now) {
    return control.check(SERVICE, FLOW, adapterHeld, now).isEmpty();
  }

  @Nested
  class Shares {

    @Test
    void refusesAboveTheShareAndSpreadsTheReturns() {
      state(NORTH, Room.ENGINE_TIME, FLOW, 0.4, 0);

      assertThat(control.check(SERVICE, FLOW, true, 10))
          .contains(new AdmissionControl.Limit(NORTH, Room.ENGINE_TIME, 4, 0.4, 1_500));
    }

    @Test
    void applyToWorkspacesThatAreNotListed() {
      state(NORTH, Room.ENGINE_TIME, ALL_OF_PRIORITY, 0, 0);

      assertThat(admits(true, 10)).isFalse();
    }

    @Test
    void ofAdapterSlotsDoNotApplyToHeldAdapters() {
      state(NORTH, Room.ADAPTER_SLOTS, FLOW, 0, 0);

      assertThat(admits(true, 10)).isTrue();
      assertThat(admits(false, 10)).isFalse();
    }

    @Test
    void applyOnlyWhereNoOtherCoordinatorHasRoom() {
      state(NORTH, Room.ENGINE_TIME, FLOW, 0, 0);
      coordinators.add(SOUTH);

      assertThat(admits(true, 10)).isTrue();
      state(SOUTH, Room.ENGINE_TIME, FLOW, 0.1, 0);
      assertThat(admits(true, 10)).isFalse();
    }

    @Test
    void endWithAnEmptyStatement() {
      state(NORTH, Room.ENGINE_TIME, FLOW, 0, 0);
      control.receive(NORTH, new RoomMessage.Shortages(List.of()), 20);

      assertThat(admits(true, 30)).isTrue();
    }

    @Test
    void areShownAsGaugesUntilTheyLapse() {
      state(NORTH, Room.ENGINE_TIME, FLOW, 0, 0);
      String gauge = "{service=\"notes\",room=\"engine_time\"}";

      assertThat(control.gauges(10)).isEqualTo(Map.of(gauge, 1.0));
      assertThat(control.gauges(5_000)).isEqualTo(Map.of(gauge, 0.0));
    }
  }

  @Nested
  class Failure {

    /** A coordinator lost during a shortage must not leave its shares in force. */
    @Test
    void ofTheLinkEndsTheShares() {
      state(NORTH, Room.ENGINE_TIME, FLOW, 0, 0);
      control.lost(NORTH, 10);

      assertThat(admits(true, 10)).isTrue();
    }

    /** Statements stop on a link that is still open in the other direction. */
    @Test
    void ofOneDirectionLetsTheSharesLapse() {
      state(NORTH, Room.ENGINE_TIME, FLOW, 0, 0);

      assertThat(admits(true, AdmissionControl.MAX_AGE_MS)).isFalse();
      assertThat(admits(true, 1_500)).isTrue();
    }

    /** The end of a shortage is lost while another coordinator still reports one. */
    @Test
    void toDeliverTheEndDoesNotProlongTheShares() {
      coordinators.add(SOUTH);
      state(NORTH, Room.ENGINE_TIME, FLOW, 0, 0);
      state(SOUTH, Room.ENGINE_TIME, FLOW, 0, AdmissionControl.MAX_AGE_MS);

      assertThat(admits(true, AdmissionControl.MAX_AGE_MS)).isFalse();
      assertThat(admits(true, 1_500)).isTrue();
    }

    /** A daemon that has just started has no statement yet. */
    @Test
    void toKnowAnythingYetRefusesNothing() {
      assertThat(admits(true, 0)).isTrue();
    }

    /** A daemon that is cut off decides by what it sees itself. */
    @Test
    void toReachAnyCoordinatorRefusesNothing() {
      state(NORTH, Room.ENGINE_TIME, FLOW, 0, 0);
      coordinators.clear();

      assertThat(admits(true, 10)).isTrue();
    }
  }
}
