package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Configuration of an engine that this daemon owns.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param id the endpoint
 * @param address where it listens
 * @param model the base model that it runs
 * @param slots adapters that it can hold at the same time
 * @param maxStreams streams that it can run at the same time
 */
public record OwnedEndpoint(
    EndpointId id, InetSocketAddress address, ModelId model, int slots, int maxStreams) {

  /** Validates the components. */
  public OwnedEndpoint {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(model, "model");
  }
}
