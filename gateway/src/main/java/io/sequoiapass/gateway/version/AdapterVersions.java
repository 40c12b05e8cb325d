package io.sequoiapass.gateway.version;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Tracks the newest announced version of each adapter, and whether an older copy may still start
 * requests.
 *
 * <pre>{@code
 * versions.announce(name, 3, now);
 * boolean usable = versions.isUsable(name, 2, now);
 * }</pre>
 *
 * <p>An older copy stays usable for a grace period after the announcement, so that the copies of a
 * busy adapter can be replaced one after the other and no request waits. Safe for use by several
 * threads.
 */
public final class AdapterVersions {

  /** The version of an adapter that was never announced. */
  public static final long FIRST = 1;

  private final Map<AdapterName, Release> releases = new ConcurrentHashMap<>();
  private final LongSupplier graceMs;

  /**
   * Creates an instance without announced versions.
   *
   * @param graceMs how long an older copy stays usable after an announcement, in milliseconds; well
   *     below the limit after which no request may start on an older copy
   */
  public AdapterVersions(long graceMs) {
    this(() -> graceMs);
  }

  /**
   * Creates an instance without announced versions, with a grace period that may change.
   *
   * @param graceMs returns how long an older copy stays usable, in milliseconds
   */
  public AdapterVersions(LongSupplier graceMs) {
    this.graceMs = graceMs;
  }

  /**
   * Records a version; one that is not newer than the recorded one is ignored.
   *
   * @param name the adapter
   * @param version the version
   * @param now the time, in milliseconds
   * @return whether it is newer than the recorded version
   */
  public boolean announce(AdapterName name, long version, long now) {
    Release known = releases.get(name);
    if (known != null && known.version() >= version) {
      return false;
    }
    releases.put(name, new Release(version, now));
    return true;
  }

  /** Returns the newest version of each announced adapter. */
  public Map<AdapterName, Long> all() {
    Map<AdapterName, Long> all = new HashMap<>();
    releases.forEach((name, release) -> all.put(name, release.version()));
    return all;
  }

  /**
   * Returns the newest version of an adapter; {@link #FIRST} if none was announced.
   *
   * @param name the adapter
   */
  public long newest(AdapterName name) {
    Release known = releases.get(name);
    return known == null ? FIRST : known.version();
  }

  /**
   * Returns whether a copy may start a request.
   *
   * @param name the adapter
   * @param version the copy's version
   * @param now the time, in milliseconds
   */
  public boolean isUsable(AdapterName name, long version, long now) {
    Release known = releases.get(name);
    return known == null || version >= known.version() || now - known.since() < graceMs.getAsLong();
  }

  /**
   * Returns whether the grace period has elapsed, so that the endpoint has to reject older copies,
   * too.
   *
   * @param name the adapter
   * @param now the time, in milliseconds
   */
  public boolean isGraceElapsed(AdapterName name, long now) {
    Release known = releases.get(name);
    return known != null && now - known.since() >= graceMs.getAsLong();
  }

  private record Release(long version, long since) {}
}
