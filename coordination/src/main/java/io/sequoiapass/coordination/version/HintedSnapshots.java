package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Shows endpoints on hosts that leave as leaving in the snapshots that requests use.
 *
 * <pre>{@code
 * ConfigurationSnapshot seen = hinted.apply(store.snapshot(), monitor.hints());
 * }</pre>
 *
 * <p>The store itself stays as the platform has it, so digests and listings compare equal, and a
 * hint can only take an endpoint out of service, never bring one back that the configuration says
 * is leaving. The list of endpoints stays the same object while neither it nor the hints change,
 * which what is derived from it depends on. Not thread-safe; one shard drives it.
 */
public final class HintedSnapshots {

  private List<EndpointRecord> from = List.of();
  private HostHints by = HostHints.NONE;
  private List<EndpointRecord> endpoints = List.of();
  private List<EndpointRecord> changed = List.of();

  /**
   * Returns the configuration with the hints applied.
   *
   * @param snapshot the configuration
   * @param hints what the host list says
   */
  public ConfigurationSnapshot apply(ConfigurationSnapshot snapshot, HostHints hints) {
    if (snapshot.endpoints() != from || !hints.equals(by)) {
      change(snapshot, hints);
    }
    return changed.isEmpty() ? snapshot : snapshot.withEndpoints(changed, endpoints);
  }

  private void change(ConfigurationSnapshot snapshot, HostHints hints) {
    List<EndpointRecord> all = new ArrayList<>();
    List<EndpointRecord> drained = new ArrayList<>();
    for (EndpointRecord endpoint : snapshot.endpoints()) {
      boolean drains = endpoint.takesNewWork() && hints.drains(endpoint);
      EndpointRecord seen = drains ? endpoint.leaving() : endpoint;
      all.add(seen);
      if (drains) {
        drained.add(seen);
      }
    }
    from = snapshot.endpoints();
    by = hints;
    endpoints = List.copyOf(all);
    changed = List.copyOf(drained);
  }
}
