package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkFrames;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongPredicate;

/** Creates the modules of a coordinator. */
final class CoordinatorModules {

  private CoordinatorModules() {}

  /**
   * Creates the modules, in the order in which their messages are sent.
   *
   * @param settings the coordinator and its data centre
   * @param io protocol, client, executor, clock, log, versions, verdicts and counters
   * @param directory the endpoints
   * @param plan the coordinator's plan
   * @param loadQueue the loads that wait for a slot
   * @param mayGrant whether no other coordinator of the data centre is active at a time
   */
  static List<CoordinatorModule> create(
      CoordinatorSettings settings,
      Coordinator.Io io,
      EndpointDirectory directory,
      PlacementPlan plan,
      LoadQueue loadQueue,
      LongPredicate mayGrant) {
    DataCentreId here = settings.dataCentre();
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
                new ShortageMonitor(io.log(), directory, plan, loadQueue),
                new RetryLeaseModule(
                    here,
                    settings.retries(),
                    settings.dataCentres(),
                    mayGrant,
                    io.clock(),
                    io.log(),
                    io.metrics())));
    directory
        .spill()
        .map(routes -> new SpillModule(here, directory, plan, loadQueue, routes, io.log()))
        .ifPresent(modules::add);
    return modules;
  }
}
