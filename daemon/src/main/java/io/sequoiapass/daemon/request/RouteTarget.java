package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;

/**
 * What an endpoint must provide to run a request; immutable and safe for use by several threads.
 */
public sealed interface RouteTarget {

  /** Returns the key that ranks endpoints for the request; equal keys give equal rankings. */
  String affinity();

  /**
   * Any engine of a base model; affinity confines an adapter to few of them.
   *
   * @param model the base model
   * @param adapter the adapter and version
   */
  record Engine(ModelId model, AdapterVersion adapter) implements RouteTarget {
    @Override
    public String affinity() {
      return adapter.toString();
    }
  }

  /**
   * Any endpoint of a plain service.
   *
   * @param service the service
   * @param spread a text that differs between requests, so that they are distributed evenly
   */
  record Service(ServiceId service, String spread) implements RouteTarget {
    @Override
    public String affinity() {
      return spread;
    }
  }
}
