package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.process.HostHint;
import java.util.Objects;
import java.util.Set;

/**
 * Is what the platform's list says of one host; immutable and safe for use by several threads.
 *
 * @param host the host
 * @param hint what the list says of it
 * @param endpoints the endpoints that the list places on it
 */
public record HostReport(HostId host, HostHint hint, Set<EndpointId> endpoints) {

  /** Copies the set and checks the parts. */
  public HostReport {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(hint, "hint");
    endpoints = Set.copyOf(endpoints);
  }
}
