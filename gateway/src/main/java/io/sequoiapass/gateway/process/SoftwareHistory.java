package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The software versions that have served each service, as far as this process has followed the list
 * of endpoints.
 *
 * <p>A process that has just started, or was cut off from the list, does not know the versions that
 * have left before or come meanwhile. So the history tells whether it is complete.
 *
 * <pre>{@code
 * history.observe(directory.softwareVersions(), isCurrent, now);
 * boolean hasLeft = history.isComplete(retentionMs, now)
 *     && !history.recent(service, retentionMs, now).contains(version);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
final class SoftwareHistory {

  /**
   * Longest time without a current list that leaves no gap, in milliseconds: a watch returns at
   * once when the list changes, and after some three seconds when it does not.
   */
  static final long MAX_GAP_MS = 5_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<ServiceId, Map<SoftwareVersion, Long>> lastListed = new HashMap<>();
  private long followedSince = NEVER;
  private long currentAt = NEVER;

  /**
   * Records the list; called several times a second.
   *
   * @param listed the versions of the listed endpoints, by service
   * @param isCurrent whether the list is current
   * @param now the time, in milliseconds
   */
  synchronized void observe(
      Map<ServiceId, Set<SoftwareVersion>> listed, boolean isCurrent, long now) {
    listed.forEach(
        (service, versions) -> {
          Map<SoftwareVersion, Long> times =
              lastListed.computeIfAbsent(service, any -> new HashMap<>());
          versions.forEach(version -> times.put(version, now));
        });
    if (isCurrent) {
      if (now - currentAt > MAX_GAP_MS) {
        followedSince = now;
      }
      currentAt = now;
    }
  }

  /** Returns whether the list is being followed. */
  synchronized boolean isFollowing(long now) {
    return now - currentAt <= MAX_GAP_MS;
  }

  /** Returns whether the list has been followed without a gap for a time, in milliseconds. */
  synchronized boolean isComplete(long forMs, long now) {
    return now - currentAt <= MAX_GAP_MS && now - followedSince >= forMs;
  }

  /**
   * Returns the versions of a service that were listed within a time.
   *
   * @param service the service
   * @param withinMs the time, in milliseconds
   * @param now the time now, in milliseconds
   */
  synchronized Set<SoftwareVersion> recent(ServiceId service, long withinMs, long now) {
    Map<SoftwareVersion, Long> times = lastListed.getOrDefault(service, Map.of());
    times.values().removeIf(at -> now - at > withinMs);
    return new HashSet<>(times.keySet());
  }
}
