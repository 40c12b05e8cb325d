package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import java.util.Optional;

/** Looks up the daemon that serves an endpoint; safe for use by several threads. */
@FunctionalInterface
public interface Owners {

  /**
   * Returns the daemon that accepts requests for an endpoint, if there is one.
   *
   * @param endpoint the endpoint
   */
  Optional<DaemonId> of(EndpointRecord endpoint);
}
