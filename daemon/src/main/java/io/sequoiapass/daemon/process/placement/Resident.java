package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.util.List;
import java.util.Objects;

/**
 * One adapter version that an endpoint holds ready.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param handle names the load
 * @param adapter what was loaded
 * @param running requests that run on it; each is counted until {@link Placement#requestFinished}
 */
public record Resident(LoadHandle handle, AdapterVersion adapter, List<RequestId> running) {

  /** Checks the parts and copies the list. */
  public Resident {
    Objects.requireNonNull(handle, "handle");
    Objects.requireNonNull(adapter, "adapter");
    running = List.copyOf(running);
  }
}
