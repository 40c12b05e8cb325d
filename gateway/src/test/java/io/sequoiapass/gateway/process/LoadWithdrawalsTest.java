package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoadWithdrawalsTest {

  private static final DataCentreId NORTH = new DataCentreId("north");

  private final List<LinkMessage> sent = new ArrayList<>();
  private final LoadWithdrawals withdrawals = new LoadWithdrawals();

  @BeforeEach
  void connect() {
    withdrawals.use((dataCentre, message) -> sent.add(message), Runnable::run);
  }

  @Test
  void lastRequestThatLeavesWithdrawsTheLoad() {
    LoadWithdrawals.Place first = withdrawals.enqueue(NORTH, adapter(1));
    LoadWithdrawals.Place second = withdrawals.enqueue(NORTH, adapter(1));

    first.release();
    first.release();
    assertThat(sent).isEmpty();
    second.release();

    assertThat(sent).containsExactly(new RoomMessage.LoadWithdrawn(adapter(1), second.number()));
  }

  @Test
  void loadThatTheCoordinatorRemovedIsNotWithdrawn() {
    LoadWithdrawals.Place place = withdrawals.enqueue(NORTH, adapter(1));

    place.settled();
    place.release();

    assertThat(sent).isEmpty();
  }

  /** Guards against a withdrawal at a new coordinator of what was requested from the old one. */
  @Test
  void placeIsLostWithTheLink() {
    LoadWithdrawals.Place old = withdrawals.enqueue(NORTH, adapter(1));
    withdrawals.lost(NORTH, 0);
    LoadWithdrawals.Place anew = withdrawals.enqueue(NORTH, adapter(1));

    old.release();

    assertThat(sent).isEmpty();
    assertThat(anew.number()).isGreaterThan(old.number());
  }
}
