package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.process.OrderKind;
import java.util.Optional;

/** Decides, right before an order is sent, whether this daemon may still give it. */
public interface OrderGate {

  /**
   * Returns the fencing number for an order, or empty if the order must not be given.
   *
   * @param endpoint the endpoint that the order is for
   * @param kind what the order does
   */
  Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind);

  /**
   * Returns whether another daemon may have started streams on this daemon's endpoints, so that the
   * engine must be queried before each eviction.
   */
  boolean mayOthersServe();
}
