package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.ServingConfiguration;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * All endpoints of the platform's list, in one group per service.
 *
 * <p>Safe for use by several threads; each group has its own lock.
 */
public final class EndpointDirectory
    implements StoreFeed.Listener<EndpointEntry>, LoadTime.Traffic {

  /**
   * How long an endpoint whose entry expired during an outage of the store still gets requests, in
   * milliseconds. A live endpoint writes its entry again within two seconds after the outage;
   * dropping expired ones immediately would leave the daemon without endpoints.
   */
  private static final long EXPIRY_GRACE_MS = 2_200;

  /** How long a removed endpoint is retained for the requests in flight there, in milliseconds. */
  private static final long RETENTION_MS = 30_000;

  private final DataCentreId here;
  private final AdapterVersions versions;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Map<ServiceId, EndpointGroup> groups = new ConcurrentHashMap<>();

  /** Stands for the revision of a list that is not known. */
  static final long UNLISTED = -1;

  private final Map<EndpointId, EndpointEntry> known = new ConcurrentHashMap<>();
  private final Set<DataCentreId> coordinated = ConcurrentHashMap.newKeySet();
  private volatile boolean listed;
  private final EndpointHistory history = new EndpointHistory();
  private final DoubleSupplier random;
  private volatile long currentRevision;
  private volatile Runnable onChange = () -> {};
  private volatile Watcher watcher = Watcher.NONE;
  private volatile Consumer<DataCentreId> onIdle = dataCentre -> {};
  private volatile PermitSource permitSource = PermitSource.NONE;
  private volatile Optional<ConnectionSource> connectionSource = Optional.empty();
  private volatile EndpointSpeeds speeds = EndpointSpeeds.NONE;
  private volatile TaskGuard guard;
  private volatile Consumer<EndpointEntry> verifier = entry -> {};
  private volatile Optional<SpillRoutes> spill = Optional.empty();
  private volatile Map<ServiceId, Long> targetsMs = Map.of();

  /** Receives changes of the list; must not block. */
  interface Watcher {

    /** Ignores all changes. */
    Watcher NONE =
        new Watcher() {
          @Override
          public void listed(LinkMessage.ListedEndpoint entry) {}

          @Override
          public void unlisted(LinkMessage.GoneEndpoint gone) {}
        };

    /** Called when an entry is new or has changed. */
    void listed(LinkMessage.ListedEndpoint entry);

    /** Called when an entry was removed. */
    void unlisted(LinkMessage.GoneEndpoint gone);
  }

  EndpointDirectory(
      DataCentreId here, AdapterVersions versions, MillisClock clock, DecisionLog log) {
    this(here, versions, clock, log, () -> ThreadLocalRandom.current().nextDouble());
  }

  EndpointDirectory(
      DataCentreId here,
      AdapterVersions versions,
      MillisClock clock,
      DecisionLog log,
      DoubleSupplier random) {
    this.random = random;
    this.here = here;
    this.versions = versions;
    this.clock = clock;
    this.log = log;
    this.guard = new TaskGuard(log, () -> {}, clock);
  }

  /** Sets the callback for any change of the list. */
  void onChange(Runnable action) {
    onChange = action;
  }

  /** Sets the callback for an adapter that has become idle in a data centre; must not block. */
  void onIdle(Consumer<DataCentreId> action) {
    onIdle = action;
  }

  /** Sets where permits come from; called before there are endpoints. */
  void usePermits(PermitSource source) {
    permitSource = source;
  }

  /** Sets the connections to endpoints; called before there are endpoints. */
  void useConnections(ConnectionSource source) {
    connectionSource = Optional.of(source);
  }

  /** Sets what is known of the speeds of endpoints; called before there are endpoints. */
  void useSpeeds(EndpointSpeeds newSpeeds) {
    speeds = newSpeeds;
  }

  /** Sets where requests go while demand is shared out; called before there are endpoints. */
  void useSpill(SpillRoutes routes) {
    spill = Optional.of(routes);
  }

  /** Returns where requests go while demand is shared out; empty if it never is. */
  Optional<SpillRoutes> spill() {
    return spill;
  }

  /** Sets what records errors of single entries; called before there are endpoints. */
  void useGuard(TaskGuard newGuard) {
    guard = newGuard;
  }

  /** Sets the listener for each change of the list. */
  void setWatcher(Watcher newWatcher) {
    watcher = newWatcher;
  }

  /** Returns whether the list has been read. */
  boolean isListed() {
    return listed;
  }

  /** Returns the group of a service. */
  public EndpointGroup group(ServiceId service) {
    return groups.computeIfAbsent(
        service,
        name -> {
          EndpointGroup group =
              new EndpointGroup(here, versions, dataCentre -> onIdle.accept(dataCentre), random);
          group.usePermits(permitSource);
          group.useVerifier(verifier);
          connectionSource.ifPresent(group::useConnections);
          group.useSpeeds(speeds);
          spill.ifPresent(routes -> group.useSpill(routes.of(name)));
          return group;
        });
  }

  /** Returns the group of a service; empty if the service is not known. */
  Optional<EndpointGroup> find(ServiceId service) {
    return Optional.ofNullable(groups.get(service));
  }

  /** Returns the shortest target time of the routes to a service, in milliseconds. */
  OptionalLong targetMs(ServiceId service) {
    Long targetMs = targetsMs.get(service);
    return targetMs == null ? OptionalLong.empty() : OptionalLong.of(targetMs);
  }

  /** Returns the data centres with endpoints of a service and a connected coordinator. */
  Set<DataCentreId> coordinated(ServiceId service, long now) {
    Set<DataCentreId> serving = new HashSet<>();
    find(service).stream()
        .flatMap(group -> group.entries(now).stream())
        .forEach(entry -> serving.add(entry.dataCentre()));
    serving.retainAll(coordinated);
    return serving;
  }

  void configure(ServingConfiguration configuration) {
    targetsMs = targetsMs(configuration);
    configuration
        .services()
        .forEach(service -> group(service.service()).configure(service.engine()));
  }

  /** Reports how many endpoints of each service this daemon prefers. */
  void reportSubsets(GatewayMetrics metrics) {
    groups.forEach(
        (service, group) ->
            metrics.set(
                "sequoiapass_preferred_endpoints{service=\"" + service + "\"}",
                group.preferredEndpoints()));
  }

  /** Returns the entry of an endpoint; empty if there is no such endpoint. */
  Optional<EndpointEntry> entry(EndpointId endpoint) {
    return Optional.ofNullable(known.get(endpoint));
  }

  private static Map<ServiceId, Long> targetsMs(ServingConfiguration configuration) {
    Map<ServiceId, Long> targets = new HashMap<>();
    for (RouteSpec route : configuration.routes()) {
      if (route.targetMs() > 0) {
        route
            .targets()
            .forEach(target -> targets.merge(target.service(), route.targetMs(), Math::min));
      }
    }
    return Map.copyOf(targets);
  }

  /** Returns the group that an endpoint belongs to. */
  Optional<EndpointGroup> groupOf(EndpointId endpoint) {
    return Optional.ofNullable(known.get(endpoint)).map(entry -> group(entry.service()));
  }

  /** Returns the speed at which an engine reads a prompt alone, in tokens per millisecond. */
  double readingTokensPerMs(EndpointId endpoint, long now) {
    return groupOf(endpoint)
        .map(group -> group.readingTokensPerMs(endpoint, now))
        .orElse(EndpointGroup.FIRST_READING_TOKENS_PER_MS);
  }

  /** Applies an entry that was read after a connection to its endpoint had been opened. */
  void verified(Stored<EndpointEntry> object) {
    present(object);
    object
        .value()
        .ifPresent(entry -> find(entry.service()).ifPresent(group -> group.verified(entry)));
  }

  /** Records that an endpoint could not be verified. */
  void verificationFailed(EndpointEntry entry) {
    find(entry.service())
        .ifPresent(group -> group.verificationFailed(entry.endpoint(), clock.millis()));
  }

  /** Sets what finds out which process an endpoint is; called before there are endpoints. */
  void useVerifier(Consumer<EndpointEntry> newVerifier) {
    verifier = newVerifier;
  }

  /** Returns the software versions of the listed endpoints, by service. */
  Map<ServiceId, Set<SoftwareVersion>> softwareVersions() {
    Map<ServiceId, Set<SoftwareVersion>> versions = new HashMap<>();
    known
        .values()
        .forEach(
            entry ->
                versions
                    .computeIfAbsent(entry.service(), any -> new HashSet<>())
                    .add(entry.software()));
    return versions;
  }

  /** Returns the services. */
  Set<ServiceId> services() {
    return Set.copyOf(groups.keySet());
  }

  /** Returns the groups. */
  List<EndpointGroup> groups() {
    return List.copyOf(groups.values());
  }

  @Override
  public int loadsInProgress(long now) {
    return groups.values().stream().mapToInt(group -> group.loadsInProgress(now)).sum();
  }

  /** Sets the estimates of load times in a data centre. */
  void setLoadTimes(DataCentreId dataCentre, LoadTimeEstimates loadTimes) {
    groups.values().forEach(group -> group.setLoadTimes(dataCentre, loadTimes));
  }

  /** Returns whether an endpoint outside a data centre holds or loads an adapter. */
  boolean isHeldOutside(DataCentreId dataCentre, AdapterName adapter) {
    long now = clock.millis();
    return groups.values().stream().anyMatch(g -> g.isHeldOutside(dataCentre, adapter, now));
  }

  /** Returns whether this daemon has a record of any endpoint that holds or loads an adapter. */
  boolean isHeld(AdapterName adapter) {
    long now = clock.millis();
    return groups.values().stream().anyMatch(group -> group.isHeld(adapter, now));
  }

  /**
   * Returns a copy of an adapter outside a data centre whose coordinator is connected, the one that
   * is available first.
   *
   * @param dataCentre the data centre
   * @param adapter the adapter
   * @param version the least version
   */
  Optional<LinkMessage.Placement> copyOutside(
      DataCentreId dataCentre, AdapterName adapter, long version) {
    long now = clock.millis();
    return groups.values().stream()
        .flatMap(group -> group.copies(adapter, version, now))
        .filter(copy -> !copy.dataCentre().equals(dataCentre))
        .filter(copy -> coordinated.contains(copy.dataCentre()))
        .map(EndpointGroup.LocatedCopy::placement)
        .min(Comparator.comparingLong(LinkMessage.Placement::readyInMs));
  }

  /** Records that a connected coordinator reports what the endpoints of a data centre hold. */
  void coordinatorConnected(DataCentreId dataCentre) {
    coordinated.add(dataCentre);
  }

  /**
   * Records that a data centre has no connected coordinator; the endpoints' own entries are used
   * again.
   */
  void coordinatorDisconnected(DataCentreId dataCentre) {
    coordinated.remove(dataCentre);
    groups.values().forEach(group -> group.clearOthers(dataCentre));
  }

  @Override
  public boolean present(Stored<EndpointEntry> object) {
    return apply(object);
  }

  @Override
  public boolean listed(StoreList<EndpointEntry> list, boolean afterOutage) {
    Set<EndpointId> present = new HashSet<>();
    list.items().forEach(item -> item.value().ifPresent(entry -> present.add(entry.endpoint())));
    boolean changed = removeAllBut(present, list.revision(), afterOutage ? EXPIRY_GRACE_MS : 0);
    history.listed(list.revision());
    listed = true;
    return changed;
  }

  private boolean removeAllBut(Set<EndpointId> present, long revision, long graceMs) {
    boolean changed = false;
    for (EndpointEntry entry : new ArrayList<>(known.values())) {
      if (!present.contains(entry.endpoint())) {
        changed |= remove(entry.endpoint(), revision, graceMs);
      }
    }
    return changed;
  }

  /** The name of another writer's entry need not be that of an endpoint. */
  @Override
  public boolean removed(Stored<EndpointEntry> object, boolean afterOutage) {
    long graceMs = afterOutage ? EXPIRY_GRACE_MS : 0;
    return EndpointId.parse(object.name())
        .map(endpoint -> remove(endpoint, object.revision(), graceMs))
        .orElse(false);
  }

  @Override
  public void upTo(long revision) {
    currentRevision = Math.max(currentRevision, revision);
    onChange.run();
  }

  /** Applies an update of the list that a coordinator relays. */
  void applyUpdate(LinkMessage.Endpoints update) {
    Set<EndpointId> present = new HashSet<>();
    for (LinkMessage.ListedEndpoint item : update.entries()) {
      EndpointId endpoint = item.entry().endpoint();
      present.add(endpoint);
      guard.run(
          "update " + endpoint,
          () ->
              apply(
                  new Stored<>(endpoint.value(), item.revision(), Optional.of(item.entry()), "")));
    }
    for (LinkMessage.GoneEndpoint gone : update.gone()) {
      guard.run(
          "update " + gone.endpoint(),
          () -> remove(gone.endpoint(), gone.revision(), gone.graceMs()));
    }
    if (update.snapshot()) {
      removeAllBut(present, update.revision(), 0);
      history.listed(update.revision());
      listed = true;
    }
    currentRevision = Math.max(currentRevision, update.revision());
    onChange.run();
  }

  /**
   * Returns what another daemon has to learn to know the list as this one does: all entries, or the
   * changes that it has missed.
   *
   * @param since the revision up to which the other daemon knows the list; {@link #UNLISTED} if it
   *     does not
   */
  LinkMessage.Endpoints entriesSince(long since) {
    // Read first: entries that change meanwhile are newer than this revision, which is harmless.
    long revision = currentRevision;
    boolean changesOnly = since != UNLISTED && history.isCompleteSince(since);
    List<LinkMessage.ListedEndpoint> entries = new ArrayList<>();
    for (EndpointEntry entry : known.values()) {
      EndpointId endpoint = entry.endpoint();
      if (!changesOnly || history.isChangedSince(endpoint, since)) {
        entries.add(new LinkMessage.ListedEndpoint(entry, history.newest(endpoint)));
      }
    }
    List<LinkMessage.GoneEndpoint> gone = changesOnly ? history.removals() : List.of();
    return new LinkMessage.Endpoints(!changesOnly, revision, entries, gone);
  }

  /** Returns the revision up to which the list is known; {@link #UNLISTED} if it is not. */
  long listedRevision() {
    return listed ? currentRevision : UNLISTED;
  }

  /**
   * Applies an entry; returns whether it changes anything that requests depend on. An unreadable
   * entry comes from another writer and names no endpoint, also if it replaces the entry of one. An
   * entry older than the known one is ignored, since changes of the store and of the coordinators
   * may arrive out of order.
   */
  private synchronized boolean apply(Stored<EndpointEntry> item) {
    if (item.value().isEmpty()) {
      log.event("endpoint_entry_unreadable")
          .with("endpoint", item.name())
          .with("revision", item.revision())
          .with("problem", item.problem())
          .write();
      return removed(item, false);
    }
    EndpointEntry entry = item.value().get();
    if (history.isOutdated(entry.endpoint(), item.revision())) {
      return false;
    }
    EndpointEntry before = known.put(entry.endpoint(), entry);
    boolean isCoordinated = coordinated.contains(entry.dataCentre());
    boolean restarted = group(entry.service()).put(entry, isCoordinated, clock.millis());
    if (before == null || before.leaving() != entry.leaving() || restarted) {
      logEntry(before == null ? "endpoint_known" : "endpoint_changed", entry, item.revision());
    }
    boolean changed = before == null || !before.equalsIgnoringAdapters(entry);
    history.put(entry.endpoint(), item.revision(), changed);
    if (changed) {
      watcher.listed(new LinkMessage.ListedEndpoint(entry, item.revision()));
    }
    return changed;
  }

  private void logEntry(String event, EndpointEntry entry, long revision) {
    log.event(event)
        .with("endpoint", entry.endpoint())
        .with("service", entry.service())
        .with("data_centre", entry.dataCentre())
        .with("software", entry.software())
        .with("leaving", entry.leaving())
        .with("born_ms", entry.startTimeMs())
        .with("revision", revision)
        .write();
  }

  /**
   * Removes an endpoint unless a newer entry of it is known. The revision is that of the removed
   * entry, since one response of the store may list the endpoint again.
   */
  private synchronized boolean remove(EndpointId endpoint, long revision, long graceMs) {
    EndpointEntry entry = known.get(endpoint);
    if (entry == null || history.isNewer(endpoint, revision)) {
      return false;
    }
    history.remove(endpoint, revision);
    long now = clock.millis();
    group(entry.service()).retireAt(endpoint, now + graceMs);
    known.remove(endpoint);
    log.event("endpoint_gone")
        .with("endpoint", endpoint)
        .with("service", entry.service())
        .with("grace_ms", graceMs)
        .write();
    watcher.unlisted(new LinkMessage.GoneEndpoint(endpoint, revision, graceMs));
    groups.values().forEach(group -> group.prune(now - RETENTION_MS));
    return true;
  }
}
