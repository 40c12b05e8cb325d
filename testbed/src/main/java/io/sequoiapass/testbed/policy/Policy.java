package io.sequoiapass.testbed.policy;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.process.placement.Placement;
import java.util.List;

/** Policy of one run: a router for all entries and a placement for each owner. */
interface Policy {

  /** Returns the placement of an owner. */
  Placement placement(int owner);

  /** Selects the endpoint whose owner receives the request. */
  EndpointId route(double nowMs, Workload.Arrival arrival, List<Engine> engines);

  /** Called at regular intervals, for example to deliver reports between owners. */
  default void tick(long nowMs) {}
}
