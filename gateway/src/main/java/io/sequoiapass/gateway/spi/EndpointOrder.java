package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * An order to one endpoint.
 *
 * @param type what to do
 * @param endpoint the addressed endpoint
 * @param address where it listens
 * @param model the base model
 * @param adapter the adapter; empty for the base model itself
 * @param version the adapter's version; empty for the newest
 * @param holder the daemon that gives the order
 * @param epoch the fencing number
 * @param expectedSequence the number of orders that the endpoint must have accepted before; a
 *     delayed duplicate of an order finds a higher number and is rejected
 */
public record EndpointOrder(
    Type type,
    EndpointId endpoint,
    InetSocketAddress address,
    ModelId model,
    Optional<AdapterId> adapter,
    OptionalLong version,
    DaemonId holder,
    long epoch,
    long expectedSequence) {

  /** The types of orders. */
  public enum Type {
    /** Loads or replaces a base model or an adapter. */
    LOAD,
    /** Unloads a base model or an adapter. */
    UNLOAD
  }
}
