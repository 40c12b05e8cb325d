package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.process.Choice;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a reply of one data centre that is taken for that of another. */
class AdapterSearchTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");
  private static final List<DataCentreId> BOTH = List.of(NORTH, SOUTH);

  private final AdapterSearch search = new AdapterSearch();

  private static Choice.RequestLoad load(DataCentreId dataCentre, boolean waits) {
    return new Choice.RequestLoad(dataCentre, false, waits, 300);
  }

  @Test
  void fullDataCentreStaysOpenForItsTurn() {
    search.request(load(NORTH, false), 0, 100);

    assertThat(search.noRoom(NORTH, 250)).isTrue();
    assertThat(search.open(BOTH)).containsExactly(NORTH, SOUTH);
    assertThat(search.queueWaits()).containsEntry(NORTH, 250L);
    assertThat(search.retryAfterMs()).isEqualTo(250);
  }

  @Test
  void dataCentreThatDoesNotKeepItsTurnIsClosed() {
    search.request(load(NORTH, true), 900, 100);
    search.noRoom(NORTH, 1_500);

    assertThat(search.open(BOTH)).containsExactly(SOUTH);
  }

  @Test
  void wordOfOneThatWasNotAskedChangesNothing() {
    search.request(load(NORTH, true), 900, 100);

    assertThat(search.noRoom(SOUTH, 250)).isFalse();
    assertThat(search.lost(SOUTH)).isFalse();
    assertThat(search.open(BOTH)).containsExactly(NORTH, SOUTH);
  }

  @Test
  void silentDataCentreIsNotWaitedForLongerThanAnAnswerTakes() {
    search.request(load(NORTH, false), 0, 100);
    search.closeOverdue(500);
    assertThat(search.open(BOTH)).contains(NORTH);

    search.closeOverdue(1_000);
    assertThat(search.open(BOTH)).containsExactly(SOUTH);
  }

  /** Guards against a load request that counts as overdue because of an earlier wait. */
  @Test
  void eachSearchHasItsOwnTime() {
    search.request(load(NORTH, false), 0, 100);
    search.found();
    search.closeOverdue(2_000);
    search.request(load(SOUTH, false), 0, 2_000);
    search.closeOverdue(2_300);

    assertThat(search.open(BOTH)).containsExactly(NORTH, SOUTH);
  }

  @Test
  void lostCoordinatorIsClosed() {
    search.request(load(SOUTH, true), 2_000, 100);

    assertThat(search.lost(SOUTH)).isTrue();
    assertThat(search.open(BOTH)).containsExactly(NORTH);
  }

  /** Guards against a request that finds no endpoint after its second copy was requested. */
  @Test
  void requestThatComesBackSearchesAnew() {
    search.request(new Choice.RequestLoad(NORTH, true, false, 300), 0, 100);
    search.sent();
    assertThat(search.open(BOTH)).containsExactly(NORTH, SOUTH);

    search.request(load(NORTH, false), 0, 200);
    search.noRoom(NORTH, 900);
    search.sent();
    assertThat(search.queueWaits()).isEmpty();
  }

  @Test
  void whileACopyIsAskedForNothingElseIsLoaded() {
    search.request(new Choice.RequestLoad(NORTH, true, false, 300), 0, 100);

    assertThat(search.open(BOTH)).isEmpty();
  }
}
