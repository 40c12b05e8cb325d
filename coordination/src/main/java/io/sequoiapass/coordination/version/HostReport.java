package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.process.HostHint;
import java.util.Objects;
import java.util.Set;

/**
 * State of one host as listed by the platform; immutable and safe for use by several threads.
 *
 * @param host the host
 * @param hint state of the host in the list
 * @param endpoints the endpoints that the list places on it
 */
public record HostReport(HostId host, HostHint hint, Set<EndpointId> endpoints) {

  /** Copies the set and rejects null components. */
  public HostReport {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(hint, "hint");
    endpoints = Set.copyOf(endpoints);
  }
}
