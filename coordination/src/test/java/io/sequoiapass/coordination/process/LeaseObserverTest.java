package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import org.junit.jupiter.api.Test;

class LeaseObserverTest {

  private static final DaemonId HOLDER = new DaemonId("holder");

  private final PlatformConnectivity contact =
      PlatformConnectivity.create(LeaseSettings.DEFAULT, 0);
  private final LeaseObserver observer = LeaseObserver.create(LeaseSettings.DEFAULT, contact);

  private void reachPlatform(long first, long last) {
    for (long now = first; now <= last; now += 4_000) {
      contact.succeeded(now);
    }
  }

  @Test
  void expiryRequiresReadSentOneLeaseDurationAfterVersion() {
    reachPlatform(0, 12_000);
    observer.leaseVersionReceived(1_000, HOLDER, 5);
    observer.leaseRead(10_999, 11_900, HOLDER, 5);
    assertThat(observer.hasExpired(11_900, HOLDER, 0)).isFalse();
    observer.leaseRead(11_000, 11_900, HOLDER, 5);
    assertThat(observer.hasExpired(11_900, HOLDER, 0)).isTrue();
  }

  /**
   * Guards against a takeover from a holder that has recovered and written the table on which the
   * takeover is conditional.
   */
  @Test
  void readSentBeforeTableWasReceivedIsIgnored() {
    reachPlatform(0, 12_000);
    observer.leaseVersionReceived(1_000, HOLDER, 5);
    observer.leaseRead(11_000, 11_100, HOLDER, 5);
    assertThat(observer.hasExpired(11_200, HOLDER, 11_150)).isFalse();
  }

  /**
   * Guards against two owners after an outage. During the outage the holder continues because all
   * peers report it. This peer reaches the platform first and would take over immediately, while
   * the holder still relies on those reports.
   */
  @Test
  void expiryAfterOutageRequiresFullLeaseDurationOfContact() {
    contact.succeeded(0);
    observer.leaseVersionReceived(1_000, HOLDER, 5);
    reachPlatform(60_000, 72_000);
    observer.leaseRead(60_500, 60_600, HOLDER, 5);
    assertThat(observer.hasExpired(72_000, HOLDER, 0)).isFalse();
    observer.leaseRead(70_000, 70_100, HOLDER, 5);
    assertThat(observer.hasExpired(72_000, HOLDER, 0)).isTrue();
  }
}
