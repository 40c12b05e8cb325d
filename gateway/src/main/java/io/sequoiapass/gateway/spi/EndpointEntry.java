package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An endpoint's own entry in the platform's endpoint list.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint its name
 * @param service the service to which it belongs
 * @param address where it listens
 * @param dataCentre where it runs
 * @param slots requests that it runs concurrently
 * @param leaving whether it is draining and takes no new work
 * @param startTimeMs when its process started, in milliseconds since 1970; 0 if not stated. An
 *     endpoint of the same name with another start time has lost all state
 * @param software the version of its software
 * @param models the base models that it holds
 */
public record EndpointEntry(
    EndpointId endpoint,
    ServiceId service,
    InetSocketAddress address,
    DataCentreId dataCentre,
    int slots,
    boolean leaving,
    long startTimeMs,
    SoftwareVersion software,
    List<HeldModel> models) {

  /** Copies the models. */
  public EndpointEntry {
    models = List.copyOf(models);
  }

  /**
   * Returns whether another entry of the endpoint is equal except for the adapters. Adapters follow
   * the coordinator's orders, and the coordinator has a newer record of them.
   *
   * @param other the other entry
   */
  public boolean equalsIgnoringAdapters(EndpointEntry other) {
    return service.equals(other.service)
        && address.equals(other.address)
        && dataCentre.equals(other.dataCentre)
        && slots == other.slots
        && leaving == other.leaving
        && startTimeMs == other.startTimeMs
        && software.equals(other.software)
        && modelNames().equals(other.modelNames());
  }

  private Set<ModelId> modelNames() {
    return models.stream().map(HeldModel::model).collect(Collectors.toSet());
  }

  /**
   * One base model that an endpoint holds.
   *
   * @param model its name
   * @param version the version of its weights
   * @param adapters the adapters of the base model that it holds, with their versions
   */
  public record HeldModel(ModelId model, long version, Map<AdapterId, Long> adapters) {

    /** Copies the adapters. */
    public HeldModel {
      adapters = Map.copyOf(adapters);
    }
  }
}
