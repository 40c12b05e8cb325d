package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import java.util.List;
import java.util.Objects;

/**
 * Contents and capacity of an endpoint, as its engine reports them.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param model the base model that it runs
 * @param slots adapters that it can hold at the same time, at least 1
 * @param maxStreams streams that it can run at the same time, at least 1
 * @param residents adapters that are ready
 * @param loading adapters being loaded, one entry for each slot that a load has taken
 */
public record EndpointStatus(
    EndpointId endpoint,
    ModelId model,
    int slots,
    int maxStreams,
    List<Resident> residents,
    List<AdapterVersion> loading) {

  /** Creates the status of an endpoint without loads in progress. */
  public EndpointStatus(
      EndpointId endpoint, ModelId model, int slots, int maxStreams, List<Resident> residents) {
    this(endpoint, model, slots, maxStreams, residents, List.of());
  }

  /** Validates the components and copies the lists. */
  public EndpointStatus {
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(model, "model");
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be at least 1: " + slots);
    }
    if (maxStreams < 1) {
      throw new IllegalArgumentException("maxStreams must be at least 1: " + maxStreams);
    }
    residents = List.copyOf(residents);
    loading = List.copyOf(loading);
    int used = residents.size() + loading.size();
    if (used > slots) {
      throw new IllegalArgumentException(used + " adapters in " + slots + " slots");
    }
  }
}
