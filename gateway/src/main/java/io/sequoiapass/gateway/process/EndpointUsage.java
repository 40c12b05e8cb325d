package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;

/**
 * What one daemon does at one endpoint.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param load its requests there
 * @param uses the adapters that they use, and used since the last time
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
   * @param running requests that use it now
   * @param starts requests that began to use it since the last time
   */
  public record AdapterUse(AdapterName adapter, int running, int starts) {}
}
