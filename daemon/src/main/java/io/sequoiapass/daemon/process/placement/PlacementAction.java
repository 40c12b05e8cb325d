package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.Objects;
import java.util.Optional;

/**
 * Action that a placement requests from the owner.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface PlacementAction {

  /**
   * Sends a request to an endpoint.
   *
   * @param request the request
   * @param endpoint where it runs
   * @param adapter the version that it runs on
   * @param handle the load that it runs on
   */
  record Start(RequestId request, EndpointId endpoint, AdapterVersion adapter, LoadHandle handle)
      implements PlacementAction {
    /** Validates the components. */
    public Start {
      Objects.requireNonNull(request, "request");
      Objects.requireNonNull(endpoint, "endpoint");
      Objects.requireNonNull(adapter, "adapter");
      Objects.requireNonNull(handle, "handle");
    }
  }

  /**
   * Loads an adapter, after unloading an idle one if one is named.
   *
   * @param endpoint the endpoint
   * @param adapter the adapter to load
   * @param evict the load to unload first
   */
  record Load(EndpointId endpoint, AdapterVersion adapter, Optional<LoadHandle> evict)
      implements PlacementAction {
    /** Validates the components. */
    public Load {
      Objects.requireNonNull(endpoint, "endpoint");
      Objects.requireNonNull(adapter, "adapter");
      Objects.requireNonNull(evict, "evict");
    }
  }

  /**
   * Returns a request to its entry; no part of it ran.
   *
   * @param request the request
   * @param reason why it is refused
   * @param retryAfterMs delay after which a retry is worthwhile, at least 0
   */
  record Refuse(RequestId request, RefusalReason reason, long retryAfterMs)
      implements PlacementAction {
    /** Validates the components. */
    public Refuse {
      Objects.requireNonNull(request, "request");
      Objects.requireNonNull(reason, "reason");
      if (retryAfterMs < 0) {
        throw new IllegalArgumentException("retryAfterMs must not be negative: " + retryAfterMs);
      }
    }
  }
}
