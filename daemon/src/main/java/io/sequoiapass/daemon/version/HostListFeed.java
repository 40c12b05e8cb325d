package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.version.Backoff;
import io.sequoiapass.coordination.version.HostReport;
import io.sequoiapass.daemon.connection.platform.HostList;
import io.sequoiapass.daemon.connection.platform.ObjectFormatException;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reads the platform's host list once a second while this daemon is one of those that watch.
 *
 * <p>Safe for use by several threads: its state has its own lock, which is never held while the
 * reading is handed on.
 */
final class HostListFeed {

  /** Two watchers a data centre make 46 reads a second at 23 data centres, of 2,000. */
  private static final long READ_EVERY_MS = 1_000;

  private final MillisClock clock;
  private final DataCentreId dataCentre;
  private final PlatformClient platform;
  private final Backoff backoff;
  private final PlatformReach reach;
  private final Consumer<List<HostReport>> readings;
  private List<HostReport> last = List.of();
  private String tag = "";
  private boolean reading;
  private long nextReadAt = Long.MIN_VALUE;

  HostListFeed(
      MillisClock clock,
      DataCentreId dataCentre,
      PlatformClient platform,
      Backoff backoff,
      PlatformReach reach,
      Consumer<List<HostReport>> readings) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.backoff = Objects.requireNonNull(backoff, "backoff");
    this.reach = Objects.requireNonNull(reach, "reach");
    this.readings = Objects.requireNonNull(readings, "readings");
  }

  /**
   * Lets time pass.
   *
   * @param watch whether this daemon is one of those that watch
   */
  void tick(boolean watch) {
    String known;
    synchronized (this) {
      long now = clock.millis();
      if (!watch || reading || now < nextReadAt) {
        return;
      }
      reading = true;
      nextReadAt = now + READ_EVERY_MS;
      known = tag;
    }
    platform.hosts(dataCentre, known).whenComplete(this::answered);
  }

  private void answered(Optional<HostList> answer, Throwable failure) {
    Optional<List<HostReport>> reading = take(answer, failure);
    // An unchanged list counts as a reading too: a host that is back is believed after several.
    reading.ifPresent(readings);
  }

  private synchronized Optional<List<HostReport>> take(
      Optional<HostList> answer, Throwable failure) {
    reading = false;
    if (failure == null) {
      reach.succeeded();
      try {
        if (answer.isPresent()) {
          last = answer.get().of(dataCentre);
          tag = answer.get().tag();
        }
        backoff.reset();
        return Optional.of(last);
      } catch (ObjectFormatException unreadable) {
        // Treated as no answer: what was read before stands.
      }
    }
    if (failure != null) {
      reach.failed(failure);
    }
    nextReadAt = clock.millis() + READ_EVERY_MS + backoff.nextDelayMillis();
    return Optional.empty();
  }
}
