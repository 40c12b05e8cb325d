package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.util.List;
import java.util.Objects;

/**
 * Adapter version that is ready on an endpoint.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param handle identifies the load
 * @param adapter the adapter version
 * @param running requests that run on it; each counts until {@link Placement#requestFinished}
 */
public record Resident(LoadHandle handle, AdapterVersion adapter, List<RequestId> running) {

  /** Validates the components and copies the list. */
  public Resident {
    Objects.requireNonNull(handle, "handle");
    Objects.requireNonNull(adapter, "adapter");
    running = List.copyOf(running);
  }
}
