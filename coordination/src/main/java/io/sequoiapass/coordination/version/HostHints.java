package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The hosts of one data centre that the platform's host list does not show as live.
 *
 * <pre>{@code
 * if (hints.isNewerThan(held) && hints.drains(endpoint)) { ... }
 * }</pre>
 *
 * <p>The list has no version of its own, so its readers assign versions to the hints: a reader that
 * finds a change increments the highest version it has received. Instances are immutable and safe
 * for use by several threads.
 */
public final class HostHints {

  /** The empty hints, before the first reading or push. */
  public static final HostHints NONE = new HostHints(0, "", Map.of());

  private final long version;
  private final String reader;
  private final Map<HostId, HostReport> reports;

  private HostHints(long version, String reader, Map<HostId, HostReport> reports) {
    this.version = version;
    this.reader = reader;
    this.reports = reports;
  }

  /**
   * Returns hints.
   *
   * @param version the version assigned by the reader, from 1
   * @param reader the daemon that read the list
   * @param reports the hosts that are not live
   */
  public static HostHints of(long version, DaemonId reader, Collection<HostReport> reports) {
    if (version < 1) {
      throw new IllegalArgumentException("version of hints must be >= 1: " + version);
    }
    Objects.requireNonNull(reader, "reader");
    Map<HostId, HostReport> byHost =
        reports.stream()
            .collect(Collectors.toMap(HostReport::host, Function.identity(), (a, b) -> b));
    return new HostHints(version, reader.value(), new TreeMap<>(byHost));
  }

  /** Returns the version; 0 for {@link #NONE}. */
  public long version() {
    return version;
  }

  /** Returns the name of the daemon that read the list; empty for {@link #NONE}. */
  public String reader() {
    return reader;
  }

  /** Returns the hosts that are not live. */
  public Collection<HostReport> reports() {
    return Collections.unmodifiableCollection(reports.values());
  }

  /**
   * Returns the state of a host.
   *
   * @param host the host
   */
  public HostHint of(HostId host) {
    HostReport report = reports.get(host);
    return report == null ? HostHint.LIVE : report.hint();
  }

  /**
   * Returns whether an endpoint runs on a host that is leaving or absent.
   *
   * @param endpoint the endpoint
   */
  public boolean drains(EndpointRecord endpoint) {
    return reports.containsKey(endpoint.host())
        || reports.values().stream().anyMatch(report -> report.endpoints().contains(endpoint.id()));
  }

  /**
   * Returns whether these hints supersede others. Two readers may assign the same version
   * concurrently; the reader's name breaks the tie, so that all daemons converge on the same hints.
   *
   * @param other the hints to compare with
   */
  public boolean isNewerThan(HostHints other) {
    return version != other.version ? version > other.version : reader.compareTo(other.reader) > 0;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof HostHints that
        && version == that.version
        && reader.equals(that.reader)
        && reports.equals(that.reports);
  }

  @Override
  public int hashCode() {
    return Objects.hash(version, reader, reports);
  }

  @Override
  public String toString() {
    return version + " by " + reader + ": " + reports.values();
  }

  /**
   * Returns a hash of the version and the reader, which identify the hints; 0 for {@link #NONE}.
   */
  public long digest() {
    return version == 0 ? 0 : StableHash.of(reader, version).bits();
  }
}
