package io.sequoiapass.gateway.spi;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Map;

/**
 * What an endpoint answers about itself when asked; the values are some hundred milliseconds old.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param models the base models that it holds
 * @param coming adapters that are on their way to it, with their versions
 * @param busy whether it carries an order out
 * @param sequence orders that it has accepted
 */
public record EndpointReport(
    List<EndpointEntry.HeldModel> models,
    Map<AdapterName, Long> coming,
    boolean busy,
    long sequence) {

  /** Copies the lists. */
  public EndpointReport {
    models = List.copyOf(models);
    coming = Map.copyOf(coming);
  }
}
