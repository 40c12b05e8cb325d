package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import java.util.Objects;
import java.util.Optional;

/**
 * Result of a load.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint of the load
 * @param adapter the adapter version of the load
 * @param handle the handle, or empty if the load failed
 */
public record LoadResult(EndpointId endpoint, AdapterVersion adapter, Optional<LoadHandle> handle) {

  /** Validates the components. */
  public LoadResult {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(handle, "handle");
  }
}
