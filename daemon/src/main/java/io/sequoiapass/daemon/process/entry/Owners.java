package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import java.util.Optional;

/** Tells which daemon serves an endpoint now; safe for use by several threads. */
@FunctionalInterface
public interface Owners {

  /**
   * Returns the daemon that takes requests for an endpoint, if there is one.
   *
   * @param endpoint the endpoint
   */
  Optional<DaemonId> of(EndpointRecord endpoint);
}
