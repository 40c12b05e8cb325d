package io.sequoiapass.gateway.spi;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Map;

/**
 * An endpoint's report of its own state; the values are some hundred milliseconds old.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param models the base models that it holds
 * @param loading adapters that it is loading, with their versions
 * @param busy whether it is executing an order
 * @param sequence number of orders that it has accepted
 */
public record EndpointReport(
    List<EndpointEntry.HeldModel> models,
    Map<AdapterName, Long> loading,
    boolean busy,
    long sequence) {

  /** Copies the collections. */
  public EndpointReport {
    models = List.copyOf(models);
    loading = Map.copyOf(loading);
  }
}
