package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;

/**
 * One daemon's usage of one endpoint.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param load the load of its requests there
 * @param uses the adapters in use now or since the last report
 */
public record EndpointUsage(EndpointId endpoint, Load load, List<AdapterUse> uses) {

  /** Copies the list. */
  public EndpointUsage {
    uses = List.copyOf(uses);
  }

  /**
   * The use of one adapter.
   *
   * @param adapter the adapter
   * @param running running requests that use it
   * @param starts requests started with it since the last report
   */
  public record AdapterUse(AdapterName adapter, int running, int starts) {}
}
