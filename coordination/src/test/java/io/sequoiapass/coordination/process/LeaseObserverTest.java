package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import org.junit.jupiter.api.Test;

class LeaseObserverTest {

  private static final DaemonId HOLDER = new DaemonId("holder");

  private final PlatformContact contact = PlatformContact.create(LeaseSettings.DEFAULT, 0);
  private final LeaseObserver observer = LeaseObserver.create(LeaseSettings.DEFAULT, contact);

  private void contactFrom(long first, long last) {
    for (long now = first; now <= last; now += 4_000) {
      contact.succeeded(now);
    }
  }

  @Test
  void onlyAReadSentAWholeLeaseAfterTheVersionWasLearnedShowsItsEnd() {
    contactFrom(0, 12_000);
    observer.heartbeatCarried(1_000, HOLDER, 5);
    observer.leaseRead(10_999, 11_900, HOLDER, 5);
    assertThat(observer.hasLapsed(11_900, HOLDER, 0)).isFalse();
    observer.leaseRead(11_000, 11_900, HOLDER, 5);
    assertThat(observer.hasLapsed(11_900, HOLDER, 0)).isTrue();
  }

  /** The holder came back and wrote the very table on which the takeover would be conditional. */
  @Test
  void aReadFromBeforeTheTableWasKnownDoesNotCount() {
    contactFrom(0, 12_000);
    observer.heartbeatCarried(1_000, HOLDER, 5);
    observer.leaseRead(11_000, 11_100, HOLDER, 5);
    assertThat(observer.hasLapsed(11_200, HOLDER, 11_150)).isFalse();
  }

  /**
   * The platform was out, and its holder goes on because all peers say so. It comes back to this
   * peer first, which would take over at once while the holder still believes those reports.
   */
  @Test
  void afterAnOutageAWholeLeaseInContactComesFirst() {
    contact.succeeded(0);
    observer.heartbeatCarried(1_000, HOLDER, 5);
    contactFrom(60_000, 72_000);
    observer.leaseRead(60_500, 60_600, HOLDER, 5);
    assertThat(observer.hasLapsed(72_000, HOLDER, 0)).isFalse();
    observer.leaseRead(70_000, 70_100, HOLDER, 5);
    assertThat(observer.hasLapsed(72_000, HOLDER, 0)).isTrue();
  }
}
