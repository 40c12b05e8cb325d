package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Is what the owner has to know of an engine, from the configuration.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param id the endpoint
 * @param address where it listens
 * @param model the base model that it runs
 * @param slots adapters that it holds at once
 * @param maxStreams streams that it runs at once
 */
public record OwnedEndpoint(
    EndpointId id, InetSocketAddress address, ModelId model, int slots, int maxStreams) {

  /** Checks the parts. */
  public OwnedEndpoint {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(model, "model");
  }
}
