package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import java.util.ArrayList;
import java.util.List;

/** Creates the modules of a daemon that supply its {@link EndpointDirectory}. */
final class LinkModules {

  private LinkModules() {}

  /**
   * Creates the modules; called before there are endpoints.
   *
   * @param here the daemon's data centre
   * @param directory the endpoints
   * @param options what is switched on
   * @param clock the monotonic clock
   * @param metrics the counters
   */
  static List<LinkModule> create(
      DataCentreId here,
      EndpointDirectory directory,
      GatewayOptions options,
      MillisClock clock,
      GatewayMetrics metrics) {
    SpeedExchange speeds = new SpeedExchange(directory, metrics);
    directory.useSpeeds(speeds);
    List<LinkModule> modules = new ArrayList<>(List.of(speeds));
    if (options.spills()) {
      SpillRoutes spill = new SpillRoutes(here, clock, metrics);
      directory.useSpill(spill);
      modules.add(spill);
    }
    return modules;
  }
}
