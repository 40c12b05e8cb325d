package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.connection.StreamRecord;
import io.sequoiapass.gateway.version.SoftwareVersion;
import io.sequoiapass.gateway.version.StreamVersion;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Finds the version that a {@link StreamRecord} states by its key, among those of the listed
 * endpoints.
 *
 * <p>Safe for use by several threads.
 */
final class StreamVersionKeys {

  /** Shortest time between two looks at the list for an unknown key, in milliseconds. */
  private static final long REFRESH_MS = 100;

  private final Supplier<Map<ServiceId, Set<SoftwareVersion>>> listed;
  private final MillisClock clock;
  private Map<Long, StreamVersion> versions = Map.of();
  private long nextRefreshAt = Long.MIN_VALUE;

  /**
   * Creates an index.
   *
   * @param listed returns the versions of the listed endpoints, by service
   * @param clock the monotonic clock
   */
  StreamVersionKeys(Supplier<Map<ServiceId, Set<SoftwareVersion>>> listed, MillisClock clock) {
    this.listed = listed;
    this.clock = clock;
  }

  /** Returns the version with a key; empty if no listed endpoint is of it. */
  synchronized Optional<StreamVersion> find(long key) {
    if (!versions.containsKey(key) && clock.millis() >= nextRefreshAt) {
      nextRefreshAt = clock.millis() + REFRESH_MS;
      Map<Long, StreamVersion> found = new HashMap<>();
      listed
          .get()
          .forEach(
              (service, softwares) ->
                  softwares.forEach(
                      software -> {
                        StreamVersion version = new StreamVersion(service, software);
                        found.put(StreamRecord.versionKey(version), version);
                      }));
      versions = found;
    }
    return Optional.ofNullable(versions.get(key));
  }
}
