package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * What an endpoint says of itself in the platform's list.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint its name
 * @param service the service that it belongs to
 * @param address where it listens
 * @param dataCentre where it runs
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param bornMs when its process started, in milliseconds since 1970; 0 if it does not say. The
 *     same name with another start holds and knows nothing of before
 * @param models the base models that it holds
 */
public record EndpointEntry(
    EndpointId endpoint,
    ServiceId service,
    InetSocketAddress address,
    DataCentreId dataCentre,
    int slots,
    boolean leaving,
    long bornMs,
    List<HeldModel> models) {

  /** Copies the models. */
  public EndpointEntry {
    models = List.copyOf(models);
  }

  /**
   * One base model that an endpoint holds.
   *
   * @param model its name
   * @param version the version of its weights
   * @param adapters the adapters beside it, with their versions
   */
  public record HeldModel(ModelId model, long version, Map<AdapterId, Long> adapters) {

    /** Copies the adapters. */
    public HeldModel {
      adapters = Map.copyOf(adapters);
    }
  }
}
