package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.process.StoreFreshness.Topic;
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
        1, 5, 6, stopping, view, view, view, LoadTimeEstimates.FIRST, false);
  }

  private void reported(DataCentreId from, long ageMs, long now) {
    freshness.update(from, status(70, ageMs, false), now);
  }

  @Test
  void newestRevisionIsReturned() {
    freshness.update(NORTH, status(70, 0, false), 0);
    freshness.update(SOUTH, status(75, 0, false), 0);

    assertThat(freshness.revision(Topic.CONFIGURATION)).isEqualTo(75);
  }

  /**
   * Guards against a daemon that relies on one coordinator only. The coordinator is cut off from
   * the store and has not detected it, since its watch just returns nothing. The daemon would keep
   * sending requests to an endpoint that leaves meanwhile, and they would be cut off when it ends.
   */
  @Nested
  class CutOffCoordinator {

    @Test
    void oneCoordinatorIsNotEnough() {
      reported(NORTH, 100, 0);

      assertThat(freshness.areFresh(Topic.ENDPOINTS, 10)).isFalse();
    }

    @Test
    void twoCoordinatorsAreEnough() {
      reported(NORTH, 100, 0);
      reported(SOUTH, 900, 0);

      assertThat(freshness.areFresh(Topic.ENDPOINTS, 10)).isTrue();
    }

    @Test
    void outdatedViewsDoNotCount() {
      reported(NORTH, 100, 0);
      reported(SOUTH, 100, 0);
      reported(WEST, 100, 0);
      reported(WEST, 1_300, 1_200);

      assertThat(freshness.areFresh(Topic.ENDPOINTS, 1_500)).isTrue();
      assertThat(freshness.areFresh(Topic.ENDPOINTS, 1_501)).isFalse();
      assertThat(freshness.areFresh(Topic.RELEASES, 1_501)).isTrue();
    }

    @Test
    void coordinatorThatReportsAnOutageDoesNotCount() {
      reported(NORTH, -1, 0);
      reported(SOUTH, 0, 0);

      assertThat(freshness.areFresh(Topic.ENDPOINTS, 0)).isFalse();
    }

    @Test
    void lostOrStoppingCoordinatorDoesNotCount() {
      reported(NORTH, 0, 0);
      reported(SOUTH, 0, 0);
      reported(WEST, 0, 0);
      freshness.lost(NORTH);
      assertThat(freshness.areFresh(Topic.RELEASES, 0)).isTrue();

      freshness.update(SOUTH, status(70, 0, true), 0);
      assertThat(freshness.areFresh(Topic.RELEASES, 0)).isFalse();
    }
  }

  /** Guards against coordinators that all pause because of one another. */
  @Test
  void coordinatorsRelyOnlyOnThoseBeforeThem() {
    reported(NORTH, 100, 0);
    reported(SOUTH, 100, 0);
    reported(WEST, 100, 0);

    assertThat(freshness.areFreshForCoordinator(WEST, Topic.ENDPOINTS, 0)).isTrue();
    assertThat(freshness.areFreshForCoordinator(SOUTH, Topic.ENDPOINTS, 0)).isFalse();
    assertThat(freshness.areFreshForCoordinator(NORTH, Topic.ENDPOINTS, 0)).isFalse();
  }

  @Test
  void coordinatorWatchesAgainWhenOneBeforeItIsLost() {
    reported(NORTH, 100, 0);
    reported(SOUTH, 100, 0);
    freshness.lost(NORTH);

    assertThat(freshness.areFreshForCoordinator(WEST, Topic.ENDPOINTS, 0)).isFalse();
  }
}
