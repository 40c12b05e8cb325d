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
 * Reads the platform's host list once per second while this daemon is a watcher.
 *
 * <p>Safe for use by several threads: a lock guards its state and is never held while the consumer
 * is called.
 */
final class HostListFeed {

  /**
   * Two watchers per data centre make 46 reads per second at 23 data centres, out of the platform's
   * 2,000.
   */
  private static final long READ_INTERVAL_MS = 1_000;

  private final MillisClock clock;
  private final DataCentreId dataCentre;
  private final PlatformClient platform;
  private final Backoff backoff;
  private final PlatformReachability reachability;
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
      PlatformReachability reachability,
      Consumer<List<HostReport>> readings) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.backoff = Objects.requireNonNull(backoff, "backoff");
    this.reachability = Objects.requireNonNull(reachability, "reach");
    this.readings = Objects.requireNonNull(readings, "readings");
  }

  /**
   * Starts a read of the list if one is due.
   *
   * @param watch whether this daemon is a watcher
   */
  void tick(boolean watch) {
    String knownTag;
    synchronized (this) {
      long now = clock.millis();
      if (!watch || reading || now < nextReadAt) {
        return;
      }
      reading = true;
      nextReadAt = now + READ_INTERVAL_MS;
      knownTag = tag;
    }
    platform.hosts(dataCentre, knownTag).whenComplete(this::answered);
  }

  private void answered(Optional<HostList> answer, Throwable failure) {
    Optional<List<HostReport>> reading = process(answer, failure);
    // An unchanged list also counts as a reading: a recovered host is accepted only after several.
    reading.ifPresent(readings);
  }

  private synchronized Optional<List<HostReport>> process(
      Optional<HostList> answer, Throwable failure) {
    reading = false;
    if (failure == null) {
      reachability.succeeded();
      try {
        if (answer.isPresent()) {
          last = answer.get().reportsFor(dataCentre);
          tag = answer.get().tag();
        }
        backoff.reset();
        return Optional.of(last);
      } catch (ObjectFormatException unreadable) {
        // Treated as no answer; the previous reading remains valid.
      }
    }
    if (failure != null) {
      reachability.failed(failure);
    }
    nextReadAt = clock.millis() + READ_INTERVAL_MS + backoff.nextDelayMillis();
    return Optional.empty();
  }
}
