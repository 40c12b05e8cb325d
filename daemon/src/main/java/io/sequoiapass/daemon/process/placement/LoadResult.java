package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import java.util.Objects;
import java.util.Optional;

/**
 * How a load ended.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint where it was loaded
 * @param adapter what was loaded
 * @param handle the handle, or empty if the load failed
 */
public record LoadResult(EndpointId endpoint, AdapterVersion adapter, Optional<LoadHandle> handle) {

  /** Checks the parts. */
  public LoadResult {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(handle, "handle");
  }
}
