package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.process.OrderKind;
import java.util.Optional;

/** Tells, right before an order is written, whether this daemon may still give it. */
public interface OrderGate {

  /**
   * Returns the fencing number for an order, or empty if the order must not be given.
   *
   * @param endpoint where it would go
   * @param kind what it would do
   */
  Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind);

  /**
   * Returns whether another daemon may have started streams on this daemon's endpoints, so that the
   * engine has to be asked before each eviction.
   */
  boolean mayOthersServe();
}
