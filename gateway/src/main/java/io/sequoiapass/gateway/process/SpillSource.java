package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Optional;

/**
 * Knows in which data centre a request to one service is to be served while demand is shared out.
 *
 * <p>Implementations are safe for use by several threads and must not block.
 */
@FunctionalInterface
interface SpillSource {

  /** Knows no shares. */
  SpillSource NONE = (adapter, coordinated, now) -> Optional.empty();

  /**
   * Returns the route of a request; empty if no share concerns it.
   *
   * @param adapter its adapter; empty if it needs none
   * @param coordinated the data centres whose coordinator is connected
   * @param now the time, in milliseconds
   */
  Optional<SpillRoute> route(
      Optional<AdapterName> adapter, List<DataCentreId> coordinated, long now);
}
