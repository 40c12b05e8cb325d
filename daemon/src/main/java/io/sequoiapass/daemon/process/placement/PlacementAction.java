package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.Objects;
import java.util.Optional;

/**
 * What the owner does next for the placement.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface PlacementAction {

  /**
   * Writes a request to an endpoint.
   *
   * @param request the request
   * @param endpoint where it runs
   * @param adapter the version that it runs on
   * @param handle the load that it runs on
   */
  record Start(RequestId request, EndpointId endpoint, AdapterVersion adapter, LoadHandle handle)
      implements PlacementAction {
    /** Checks the parts. */
    public Start {
      Objects.requireNonNull(request, "request");
      Objects.requireNonNull(endpoint, "endpoint");
      Objects.requireNonNull(adapter, "adapter");
      Objects.requireNonNull(handle, "handle");
    }
  }

  /**
   * Unloads an idle adapter, if one is named, then loads another.
   *
   * @param endpoint where
   * @param adapter what to load
   * @param evict what to unload first
   */
  record Load(EndpointId endpoint, AdapterVersion adapter, Optional<LoadHandle> evict)
      implements PlacementAction {
    /** Checks the parts. */
    public Load {
      Objects.requireNonNull(endpoint, "endpoint");
      Objects.requireNonNull(adapter, "adapter");
      Objects.requireNonNull(evict, "evict");
    }
  }

  /**
   * Gives a request back to its entry; nothing of it ran.
   *
   * @param request the request
   * @param reason why
   * @param comeBackMs after how long another try makes sense, at least 0
   */
  record Refuse(RequestId request, RefusalReason reason, long comeBackMs)
      implements PlacementAction {
    /** Checks the parts. */
    public Refuse {
      Objects.requireNonNull(request, "request");
      Objects.requireNonNull(reason, "reason");
      if (comeBackMs < 0) {
        throw new IllegalArgumentException("comeBackMs must not be negative: " + comeBackMs);
      }
    }
  }
}
