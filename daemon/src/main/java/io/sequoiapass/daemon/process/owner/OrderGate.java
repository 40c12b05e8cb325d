package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.process.OrderKind;
import java.util.Optional;

/** Tells, right before an order is written, whether this daemon may still give it. */
@FunctionalInterface
public interface OrderGate {

  /**
   * Returns the fencing number for an order, or empty if the order must not be given.
   *
   * @param endpoint where it would go
   * @param kind what it would do
   */
  Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind);
}
