package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import java.util.List;
import java.util.Objects;

/**
 * What an endpoint holds and can hold, as its engine tells a new owner.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param model the base model that it runs
 * @param slots adapters that it holds at once, at least 1
 * @param maxStreams streams that it runs at once, at least 1
 * @param residents what it holds ready
 * @param loading what it loads, one entry for each slot that a load has taken
 */
public record EndpointStatus(
    EndpointId endpoint,
    ModelId model,
    int slots,
    int maxStreams,
    List<Resident> residents,
    List<AdapterVersion> loading) {

  /** Makes the status of an endpoint that loads nothing. */
  public EndpointStatus(
      EndpointId endpoint, ModelId model, int slots, int maxStreams, List<Resident> residents) {
    this(endpoint, model, slots, maxStreams, residents, List.of());
  }

  /** Checks the parts and copies the lists. */
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
