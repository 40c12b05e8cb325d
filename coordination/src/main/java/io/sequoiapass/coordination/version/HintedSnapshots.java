package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies host hints to configuration snapshots: endpoints on leaving or absent hosts are marked as
 * leaving.
 *
 * <pre>{@code
 * ConfigurationSnapshot seen = hinted.apply(store.snapshot(), monitor.hints());
 * }</pre>
 *
 * <p>The store keeps the platform's objects unmodified, so that digests and listings compare equal.
 * A hint can only take an endpoint out of service; it never reactivates one that the configuration
 * marks as leaving. The endpoint list keeps its identity while neither the configured endpoints nor
 * the hints change; caches derived from the list rely on this. Not thread-safe; confined to one
 * shard.
 */
public final class HintedSnapshots {

  private List<EndpointRecord> configuredEndpoints = List.of();
  private HostHints appliedHints = HostHints.NONE;
  private List<EndpointRecord> endpoints = List.of();
  private List<EndpointRecord> leavingEndpoints = List.of();

  /**
   * Returns the configuration with the hints applied.
   *
   * @param snapshot the configuration
   * @param hints the hints from the host list
   */
  public ConfigurationSnapshot apply(ConfigurationSnapshot snapshot, HostHints hints) {
    if (snapshot.endpoints() != configuredEndpoints || !hints.equals(appliedHints)) {
      update(snapshot, hints);
    }
    return leavingEndpoints.isEmpty()
        ? snapshot
        : snapshot.withEndpoints(leavingEndpoints, endpoints);
  }

  private void update(ConfigurationSnapshot snapshot, HostHints hints) {
    List<EndpointRecord> all = new ArrayList<>();
    List<EndpointRecord> leaving = new ArrayList<>();
    for (EndpointRecord endpoint : snapshot.endpoints()) {
      boolean isDrained = endpoint.takesNewWork() && hints.drains(endpoint);
      EndpointRecord seen = isDrained ? endpoint.leaving() : endpoint;
      all.add(seen);
      if (isDrained) {
        leaving.add(seen);
      }
    }
    configuredEndpoints = snapshot.endpoints();
    appliedHints = hints;
    endpoints = List.copyOf(all);
    leavingEndpoints = List.copyOf(leaving);
  }
}
