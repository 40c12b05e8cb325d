package io.sequoiapass.gateway.version;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Knows the newest version of each adapter that was announced, and whether an older copy may still
 * begin requests.
 *
 * <pre>{@code
 * versions.announce(name, 3, now);
 * boolean usable = versions.isUsable(name, 2, now);
 * }</pre>
 *
 * <p>An older copy stays usable for a while after the announcement, so that the copies of a busy
 * adapter can be replaced one after the other and no request waits. Safe for use by several
 * threads.
 */
public final class AdapterVersions {

  /** The version of an adapter that was never announced. */
  public static final long FIRST = 1;

  private final Map<AdapterName, Release> releases = new ConcurrentHashMap<>();
  private final long graceMs;

  /**
   * Knows no versions yet.
   *
   * @param graceMs how long an older copy stays usable after an announcement, in milliseconds; well
   *     below the time after which none may begin a request
   */
  public AdapterVersions(long graceMs) {
    this.graceMs = graceMs;
  }

  /**
   * Takes note of a version; one that is older than a known one changes nothing.
   *
   * @param name the adapter
   * @param version the version
   * @param now the time, in milliseconds
   * @return whether it is newer than what was known
   */
  public boolean announce(AdapterName name, long version, long now) {
    Release known = releases.get(name);
    if (known != null && known.version() >= version) {
      return false;
    }
    releases.put(name, new Release(version, now));
    return true;
  }

  /** Returns the newest version of each adapter that was announced. */
  public Map<AdapterName, Long> all() {
    Map<AdapterName, Long> all = new HashMap<>();
    releases.forEach((name, release) -> all.put(name, release.version()));
    return all;
  }

  /**
   * Returns the newest version.
   *
   * @param name the adapter
   */
  public long newest(AdapterName name) {
    Release known = releases.get(name);
    return known == null ? FIRST : known.version();
  }

  /**
   * Returns whether a copy may begin a request.
   *
   * @param name the adapter
   * @param version the copy's version
   * @param now the time, in milliseconds
   */
  public boolean isUsable(AdapterName name, long version, long now) {
    Release known = releases.get(name);
    return known == null || version >= known.version() || now - known.since() < graceMs;
  }

  /**
   * Returns whether an older copy has to be refused by the endpoint, too.
   *
   * @param name the adapter
   * @param now the time, in milliseconds
   */
  public boolean isBinding(AdapterName name, long now) {
    Release known = releases.get(name);
    return known != null && now - known.since() >= graceMs;
  }

  private record Release(long version, long since) {}
}
