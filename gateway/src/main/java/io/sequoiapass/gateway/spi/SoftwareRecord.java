package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The software versions that have lately served each service. Coordinators keep it in the store,
 * where a process that has just started finds it.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param versions the versions, by service
 */
public record SoftwareRecord(Map<ServiceId, Set<SoftwareVersion>> versions) {

  /** The record before anything was written. */
  public static final SoftwareRecord EMPTY = new SoftwareRecord(Map.of());

  /** The name of the only object of its kind. */
  public static final String NAME = "versions";

  /** Copies the versions. */
  public SoftwareRecord {
    Map<ServiceId, Set<SoftwareVersion>> copy = new HashMap<>();
    versions.forEach((service, known) -> copy.put(service, Set.copyOf(known)));
    versions = Collections.unmodifiableMap(new TreeMap<>(copy));
  }

  /**
   * Returns the versions of a service; none if it is not recorded.
   *
   * @param service the service
   */
  public Set<SoftwareVersion> of(ServiceId service) {
    return versions.getOrDefault(service, Set.of());
  }
}
