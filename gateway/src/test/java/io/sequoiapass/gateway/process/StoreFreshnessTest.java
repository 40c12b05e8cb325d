package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.process.StoreFreshness.Topic;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreFreshnessTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");
  private static final DataCentreId WEST = new DataCentreId("west");

  private final StoreFreshness freshness = new StoreFreshness();

  private static LinkMessage.CoordinatorStatus status(long revision, long ageMs, boolean stopping) {
    LinkMessage.StoreView view = new LinkMessage.StoreView(revision, ageMs);
    return new LinkMessage.CoordinatorStatus(
        1,
        5,
        6,
        stopping,
        view,
        view,
        view,
        LoadTimeEstimates.FIRST,
        false,
        List.of(),
        false,
        List.of());
  }

  private void reportStatus(DataCentreId dataCentre, long viewAgeMs, long nowMs) {
    freshness.update(dataCentre, status(70, viewAgeMs, false), nowMs);
  }

  @Test
  void newestRevisionIsReturned() {
    freshness.update(NORTH, status(70, 0, false), 0);
    freshness.update(SOUTH, status(75, 0, false), 0);

    assertThat(freshness.revision(Topic.CONFIGURATION)).isEqualTo(75);
  }

  /**
   * Guards against a daemon that relies on a single coordinator. If that coordinator is cut off
   * from the store, its watch returns no changes and it does not detect the failure. The daemon
   * would then keep sending requests to an endpoint that is being removed, and those requests would
   * be aborted when the endpoint shuts down.
   */
  @Nested
  class CutOffCoordinator {

    @Test
    void oneCoordinatorIsNotEnough() {
      reportStatus(NORTH, 100, 0);

      assertThat(freshness.areFresh(Topic.ENDPOINTS, 10)).isFalse();
    }

    @Test
    void twoCoordinatorsAreEnough() {
      reportStatus(NORTH, 100, 0);
      reportStatus(SOUTH, 900, 0);

      assertThat(freshness.areFresh(Topic.ENDPOINTS, 10)).isTrue();
    }

    @Test
    void outdatedViewsDoNotCount() {
      reportStatus(NORTH, 100, 0);
      reportStatus(SOUTH, 100, 0);
      reportStatus(WEST, 100, 0);
      reportStatus(WEST, 1_300, 1_200);

      assertThat(freshness.areFresh(Topic.ENDPOINTS, 1_500)).isTrue();
      assertThat(freshness.areFresh(Topic.ENDPOINTS, 1_501)).isFalse();
      assertThat(freshness.areFresh(Topic.RELEASES, 1_501)).isTrue();
    }

    @Test
    void coordinatorThatReportsAnOutageDoesNotCount() {
      reportStatus(NORTH, -1, 0);
      reportStatus(SOUTH, 0, 0);

      assertThat(freshness.areFresh(Topic.ENDPOINTS, 0)).isFalse();
    }

    @Test
    void lostOrStoppingCoordinatorDoesNotCount() {
      reportStatus(NORTH, 0, 0);
      reportStatus(SOUTH, 0, 0);
      reportStatus(WEST, 0, 0);
      freshness.lost(NORTH);
      assertThat(freshness.areFresh(Topic.RELEASES, 0)).isTrue();

      freshness.update(SOUTH, status(70, 0, true), 0);
      assertThat(freshness.areFresh(Topic.RELEASES, 0)).isFalse();
    }
  }

  /**
   * Guards against all coordinators ceasing to watch the store because each relies on the others. A
   * coordinator relies only on those whose data centre names precede its own.
   */
  @Test
  void coordinatorReliesOnlyOnThoseWithPrecedingNames() {
    reportStatus(NORTH, 100, 0);
    reportStatus(SOUTH, 100, 0);
    reportStatus(WEST, 100, 0);

    assertThat(freshness.areFreshForCoordinator(WEST, Topic.ENDPOINTS, 0)).isTrue();
    assertThat(freshness.areFreshForCoordinator(SOUTH, Topic.ENDPOINTS, 0)).isFalse();
    assertThat(freshness.areFreshForCoordinator(NORTH, Topic.ENDPOINTS, 0)).isFalse();
  }

  @Test
  void coordinatorResumesWatchingWhenOneWithAPrecedingNameIsLost() {
    reportStatus(NORTH, 100, 0);
    reportStatus(SOUTH, 100, 0);
    freshness.lost(NORTH);

    assertThat(freshness.areFreshForCoordinator(WEST, Topic.ENDPOINTS, 0)).isFalse();
  }
}
