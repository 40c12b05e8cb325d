package io.sequoiapass.testbed.policy;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.process.placement.Placement;
import java.util.List;

/** One policy at work in one run: a router for all entries and a placement for each owner. */
interface Policy {

  /** Returns the placement of an owner. */
  Placement placement(int owner);

  /** Chooses the endpoint whose owner gets the request. */
  EndpointId route(double nowMs, Workload.Arrival arrival, List<Engine> engines);

  /** Time went by: owners' reports to each other may travel. */
  default void tick(long nowMs) {}
}
