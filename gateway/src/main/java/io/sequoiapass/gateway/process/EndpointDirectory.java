package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.StoreChanges;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.ServingConfiguration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Knows all endpoints, as the platform's list tells them, in one group a service.
 *
 * <p>Safe for use by several threads; each group has its own lock.
 */
public final class EndpointDirectory
    implements StoreFeed.Listener<EndpointEntry>, LoadTime.Traffic {

  /**
   * How long an endpoint whose entry lapsed during an outage of the store keeps its work, in
   * milliseconds. A living one writes its entry again within two seconds of the store's return;
   * dropping it at once would leave the daemon without endpoints just then.
   */
  private static final long LAPSE_GRACE_MS = 2_200;

  /** How long a gone endpoint is remembered for the requests that it still answers. */
  private static final long FORGET_MS = 30_000;

  private final DataCentreId here;
  private final AdapterVersions versions;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Map<ServiceId, EndpointGroup> groups = new ConcurrentHashMap<>();
  private final Map<EndpointId, EndpointEntry> known = new ConcurrentHashMap<>();
  private final Set<DataCentreId> coordinated = ConcurrentHashMap.newKeySet();
  private volatile boolean listed;
  private volatile Runnable onChange = () -> {};

  EndpointDirectory(
      DataCentreId here, AdapterVersions versions, MillisClock clock, DecisionLog log) {
    this.here = here;
    this.versions = versions;
    this.clock = clock;
    this.log = log;
  }

  /** Sets what hears of any change of the list. */
  void onChange(Runnable action) {
    onChange = action;
  }

  /** Returns whether the list was read once. */
  boolean isListed() {
    return listed;
  }

  /** Returns the group of a service. */
  public EndpointGroup group(ServiceId service) {
    return groups.computeIfAbsent(service, name -> new EndpointGroup(here, versions));
  }

  void configure(ServingConfiguration configuration) {
    configuration
        .services()
        .forEach(service -> group(service.service()).configure(service.engine()));
  }

  /** Returns the group that an endpoint belongs to. */
  Optional<EndpointGroup> groupOf(EndpointId endpoint) {
    return Optional.ofNullable(known.get(endpoint)).map(entry -> group(entry.service()));
  }

  /** Returns the groups. */
  List<EndpointGroup> groups() {
    return List.copyOf(groups.values());
  }

  @Override
  public int coming(long now) {
    return groups.values().stream().mapToInt(group -> group.coming(now)).sum();
  }

  @Override
  public int engines() {
    return groups.values().stream().mapToInt(EndpointGroup::engines).sum();
  }

  /** Notes that a coordinator tells what the endpoints of a data centre hold. */
  void coordinated(DataCentreId dataCentre) {
    coordinated.add(dataCentre);
  }

  /** Notes that nobody tells any more; the endpoints' own entries count again as they change. */
  void uncoordinated(DataCentreId dataCentre) {
    coordinated.remove(dataCentre);
    groups.values().forEach(group -> group.forgetOthers(dataCentre));
  }

  @Override
  public void replaced(List<Stored<EndpointEntry>> items, boolean afterOutage) {
    Set<EndpointId> present = new HashSet<>();
    for (Stored<EndpointEntry> item : items) {
      take(item);
      item.value().ifPresent(entry -> present.add(entry.endpoint()));
    }
    for (EndpointEntry entry : new ArrayList<>(known.values())) {
      if (!present.contains(entry.endpoint())) {
        remove(entry, afterOutage);
      }
    }
    listed = true;
    onChange.run();
  }

  @Override
  public void changed(StoreChanges.Change<EndpointEntry> change, boolean afterOutage) {
    if (change.removed()) {
      Optional.ofNullable(known.get(endpointNamed(change.object())))
          .ifPresent(entry -> remove(entry, afterOutage));
    } else {
      take(change.object());
    }
    onChange.run();
  }

  private static EndpointId endpointNamed(Stored<EndpointEntry> object) {
    return new EndpointId(object.name());
  }

  /** An entry that cannot be read comes from another writer and changes nothing that is known. */
  private void take(Stored<EndpointEntry> item) {
    if (item.value().isEmpty()) {
      log.belief("endpoint_entry_unreadable")
          .with("endpoint", item.name())
          .with("revision", item.revision())
          .with("problem", item.problem())
          .write();
      return;
    }
    EndpointEntry entry = item.value().get();
    EndpointEntry before = known.put(entry.endpoint(), entry);
    long now = clock.millis();
    boolean told = coordinated.contains(entry.dataCentre());
    boolean restarted = group(entry.service()).put(entry, told, now);
    if (before == null || before.leaving() != entry.leaving() || restarted) {
      logEntry(before == null ? "endpoint_known" : "endpoint_changed", entry, item.revision());
    }
  }

  private void logEntry(String event, EndpointEntry entry, long revision) {
    log.belief(event)
        .with("endpoint", entry.endpoint())
        .with("service", entry.service())
        .with("data_centre", entry.dataCentre())
        .with("leaving", entry.leaving())
        .with("born_ms", entry.bornMs())
        .with("revision", revision)
        .write();
  }

  private void remove(EndpointEntry entry, boolean afterOutage) {
    long now = clock.millis();
    long at = afterOutage ? now + LAPSE_GRACE_MS : now;
    group(entry.service()).goneAt(entry.endpoint(), at);
    known.remove(entry.endpoint());
    log.belief("endpoint_gone")
        .with("endpoint", entry.endpoint())
        .with("service", entry.service())
        .with("grace_ms", at - now)
        .write();
    groups.values().forEach(group -> group.prune(now - FORGET_MS));
  }
}
