package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StartupListingTest {

  private static final boolean NO_LEASE = true;
  private static final boolean OWN = true;

  private final StartupListing listing = new StartupListing();

  /** Guards against a fleet whose daemons all get the whole list several times. */
  @Nested
  class FirstStartOfAFleet {

    @Test
    void listComesFromTheCoordinatorOfTheDataCentre() {
      listing.leasesRead(NO_LEASE, 0);

      assertThat(listing.awaitsCoordinators()).isTrue();
      assertThat(listing.postponesLink(OWN, 10)).isFalse();
      assertThat(listing.postponesLink(!OWN, 10)).isTrue();
    }

    @Test
    void staysSoWhenOthersHaveWrittenLeases() {
      assertThat(listing.leasesRead(NO_LEASE, 0)).isTrue();
      assertThat(listing.leasesRead(!NO_LEASE, 700)).isFalse();

      assertThat(listing.awaitsCoordinators()).isTrue();
    }
  }

  /** Guards against a restarted daemon that waits for a coordinator which was killed with it. */
  @Nested
  class Restart {

    @Test
    void listComesFromTheStore() {
      listing.leasesRead(!NO_LEASE, 0);

      assertThat(listing.awaitsCoordinators()).isFalse();
    }

    @Test
    void linksWaitForItOnlyAMoment() {
      listing.leasesRead(!NO_LEASE, 50);

      assertThat(listing.postponesLink(OWN, 60)).isTrue();
      assertThat(listing.postponesLink(OWN, 50 + StartupListing.LINK_WAIT_MS)).isFalse();
      assertThat(listing.postponesLink(!OWN, 50 + StartupListing.LINK_WAIT_MS)).isFalse();
    }
  }

  @Test
  void waitsUntilTheLeasesAreRead() {
    assertThat(listing.awaitsCoordinators()).isTrue();
  }
}
