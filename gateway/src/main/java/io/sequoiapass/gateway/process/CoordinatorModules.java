package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkFrames;
import java.util.ArrayList;
import java.util.List;

/** Creates the modules of a coordinator. */
final class CoordinatorModules {

  private CoordinatorModules() {}

  /**
   * Creates the modules, in the order in which their messages are sent.
   *
   * @param here the coordinator's data centre
   * @param io protocol, client, executor, clock, log, versions, verdicts and counters
   * @param directory the endpoints
   * @param plan the coordinator's plan
   * @param loadQueue the loads that wait for a slot
   */
  static List<CoordinatorModule> create(
      DataCentreId here,
      Coordinator.Io io,
      EndpointDirectory directory,
      PlacementPlan plan,
      LoadQueue loadQueue) {
    List<CoordinatorModule> modules =
        new ArrayList<>(
            List.of(
                new MemberUpdates(),
                io.parts(),
                new PromptTurns(
                    plan,
                    loadQueue,
                    endpoint -> directory.readingTokensPerMs(endpoint, io.clock().millis()),
                    (daemon, turn) -> daemon.channel.send(LinkFrames.encode(turn)),
                    io.clock(),
                    io.log(),
                    io.metrics()),
                new SpeedModule(here, directory::entry, io.clock(), io.log(), io.metrics()),
                new LoadQueueModule(loadQueue, io.clock(), io.log(), io.metrics()),
                new ShortageMonitor(io.log(), directory, plan, loadQueue)));
    directory
        .spill()
        .map(routes -> new SpillModule(here, directory, plan, loadQueue, routes, io.log()))
        .ifPresent(modules::add);
    return modules;
  }
}
