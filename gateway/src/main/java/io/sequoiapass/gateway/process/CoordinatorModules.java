package io.sequoiapass.gateway.process;

import java.util.List;

/** Creates the modules of a coordinator. */
final class CoordinatorModules {

  private CoordinatorModules() {}

  /**
   * Creates the modules, in the order in which their messages are sent.
   *
   * @param io protocol, client, executor, clock, log, versions and verdicts
   * @param directory the endpoints
   * @param plan the coordinator's plan
   * @param loadQueue the loads that wait for a slot
   */
  static List<CoordinatorModule> create(
      Coordinator.Io io, EndpointDirectory directory, PlacementPlan plan, LoadQueue loadQueue) {
    return List.of(
        new MemberUpdates(),
        io.parts(),
        new PromptTurns(plan, directory, io.clock()),
        new ShortageMonitor(io.log(), directory, plan, loadQueue));
  }
}
