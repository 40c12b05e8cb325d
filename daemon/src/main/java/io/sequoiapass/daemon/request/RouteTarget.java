package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;

/** Is what an endpoint must be to run a request; immutable and safe for use by several threads. */
public sealed interface RouteTarget {

  /** Returns the text that places the request among endpoints: the same text, the same order. */
  String affinity();

  /**
   * Any engine of a base model; affinity keeps an adapter on few of them.
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
   * @param spread a text that differs from request to request, so that they spread evenly
   */
  record Service(ServiceId service, String spread) implements RouteTarget {
    @Override
    public String affinity() {
      return spread;
    }
  }
}
