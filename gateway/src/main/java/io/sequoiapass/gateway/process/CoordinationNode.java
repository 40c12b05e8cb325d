package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.FleetSize;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.CoordinatorLease;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.spi.WriteResult;
import io.sequoiapass.gateway.version.AdapterName;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Connects this daemon to the others: takes part in the election of its data centre's coordinator,
 * and holds a link to the coordinator of each data centre of its region.
 *
 * <p>Safe for use by several threads; the election is one shard of state under this object's lock.
 */
final class CoordinationNode {

  /**
   * A coordinator without a path to the endpoints can give no orders; it releases its lease after
   * this time, in milliseconds, so that a mistaken loss of the path does not move it.
   */
  private static final long WITHDRAW_AFTER_MS = 700;

  /**
   * How long the release of a lease may take before the linked daemons are told, in milliseconds.
   * Those that are told earlier read a lease that is still held, and connect to its holder again.
   */
  private static final long RELEASE_MS = 300;

  private final DataCentreId here;
  private final EndpointDirectory directory;
  private final CoordinatorElection election;
  private final MetadataStore store;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final FreezeDetector freezes;
  private final DecisionLog log;
  private final TaskGuard guard;
  private final Map<DataCentreId, CoordinatorLink> links = new TreeMap<>();
  private Coordinator coordinator;
  private final Map<DataCentreId, InetSocketAddress> postponed = new ConcurrentHashMap<>();
  private final LeaseReadSchedule schedule = new LeaseReadSchedule();
  private final StartupListing startup = new StartupListing();
  private boolean reading;
  private long leavingSince;
  private volatile Runnable onFirstRead = () -> {};

  private final FleetSize fleet = new FleetSize();

  /**
   * Creates a node; {@link #use} must be called before it is used.
   *
   * @param here this daemon's data centre
   * @param directory the endpoints
   * @param election decides on the lease
   * @param store holds the leases
   * @param loop runs callbacks and timers
   * @param clock the monotonic clock
   * @param freezes detects that the host was suspended
   * @param log the log
   * @param guard keeps an error of one link from the others
   */
  CoordinationNode(
      DataCentreId here,
      EndpointDirectory directory,
      CoordinatorElection election,
      MetadataStore store,
      ScheduledExecutorService loop,
      MillisClock clock,
      FreezeDetector freezes,
      DecisionLog log,
      TaskGuard guard) {
    this.here = here;
    this.directory = directory;
    this.election = election;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.freezes = freezes;
    this.log = log;
    this.guard = guard;
  }

  /** Sets the coordinator that runs while the lease is held, and the links. */
  void use(Coordinator theCoordinator, List<CoordinatorLink> theLinks) {
    coordinator = theCoordinator;
    theLinks.forEach(link -> links.put(link.dataCentre(), link));
  }

  /** Sets the callback for the first answer to a read of the leases; must not block. */
  void onFirstRead(Runnable action) {
    onFirstRead = action;
  }

  /** Returns whether this daemon assumes that it coordinates its data centre. */
  synchronized boolean isCoordinator() {
    return election.isHolding();
  }

  /** Returns whether an order may be sent now. */
  synchronized boolean mayOrder(long now, boolean fenced) {
    if (freezes.checkDrift()) {
      log.event("freeze_noticed").with("holding", election.isHolding()).write();
    }
    boolean current = fenced || !freezes.isSuspect();
    return current && election.mayOrder(now, fenced);
  }

  /** Handles a coordinator's status. */
  void updateStatus(DataCentreId dataCentre, LinkMessage.CoordinatorStatus status) {
    synchronized (fleet) {
      fleet.observe(status.daemons(), !status.usageCounted(), clock.millis());
    }
    if (dataCentre.equals(here)) {
      synchronized (this) {
        election.observeRevision(status.revision(), clock.millis());
      }
    }
    for (LinkMessage.CoordinatorAddress coordinator : status.coordinators()) {
      connect(coordinator.dataCentre(), coordinator.address());
    }
  }

  /** Stops coordinating because an endpoint has received a higher epoch. */
  void fenced() {
    synchronized (this) {
      election.superseded();
    }
    coordinator.deactivate("fenced");
  }

  /**
   * Leaves the coordination to others while this daemon has no path to the endpoints.
   *
   * @param pathLostMs for how long it has had none, in milliseconds; 0 if it has one
   */
  void withdrawIfLost(long pathLostMs) {
    boolean releases;
    synchronized (this) {
      releases = election.withdraw(pathLostMs >= WITHDRAW_AFTER_MS);
    }
    if (releases) {
      log.event("coordinator_withdraws").with("data_centre", here).write();
    }
  }

  /** Releases the lease for a planned stop. */
  void releaseLease() {
    synchronized (this) {
      election.release();
    }
    tick();
  }

  /** Performs periodic work; called several times a second. */
  void tick() {
    links.values().forEach(link -> guard.run("link", link::tick));
    links.values().forEach(link -> guard.run("link", link::reconnect));
    guard.run("link", this::connectPostponed);
    long now = clock.millis();
    CoordinatorElection.Link link = links.get(here).state(now);
    CoordinatorElection.Step step;
    boolean isStopping;
    synchronized (this) {
      if (!election.isLeaving()) {
        leavingSince = now;
      }
      isStopping = now - leavingSince >= RELEASE_MS;
      step = election.next(now, link);
      if (step == CoordinatorElection.Step.NONE && isReadDue(now)) {
        step = CoordinatorElection.Step.READ;
      }
    }
    coordinator.setStopping(isStopping);
    switch (step) {
      case READ -> read(now);
      case WRITE -> write();
      default -> {}
    }
  }

  private boolean isReadDue(long now) {
    boolean told = !election.isHolding() && links.values().stream().anyMatch(CoordinatorLink::isUp);
    return !reading
        && schedule.isDue(told, now)
        && links.values().stream().anyMatch(link -> !link.isOpenOrConnecting());
  }

  private void read(long now) {
    long writeChanges;
    synchronized (this) {
      reading = true;
      schedule.read(now);
      writeChanges = election.writeChanges();
    }
    store
        .list(StoreKind.LEASES)
        .whenComplete(
            (list, failure) -> loop.execute(() -> leasesRead(list, failure, writeChanges)));
  }

  private void leasesRead(
      StoreList<CoordinatorLease> list, Throwable failure, long writeChangesBefore) {
    boolean acquired;
    long epoch;
    long revision;
    boolean first;
    synchronized (this) {
      reading = false;
      first = startup.leasesRead(failure == null && list.items().isEmpty(), clock.millis());
    }
    if (first) {
      onFirstRead.run();
    }
    synchronized (this) {
      if (failure != null) {
        election.readFailed();
        return;
      }
      boolean before = election.isHolding();
      Optional<Stored<CoordinatorLease>> mine =
          list.items().stream().filter(item -> item.name().equals(here.value())).findFirst();
      if (election.writeChanges() == writeChangesBefore) {
        election.read(mine, clock.millis());
      } else {
        // The list may be older than the lease that was written meanwhile.
        election.readFailed();
      }
      acquired = !before && election.isHolding();
      epoch = election.epoch();
      revision = election.revision();
    }
    if (acquired) {
      startCoordinating(epoch, revision);
    }
    list.items().forEach(lease -> guard.run("lease " + lease.name(), () -> connect(lease)));
  }

  private void connect(Stored<CoordinatorLease> lease) {
    lease
        .value()
        .filter(value -> !value.released())
        .ifPresent(
            value ->
                DataCentreId.parse(lease.name())
                    .ifPresent(dataCentre -> connect(dataCentre, value.address())));
  }

  private void connect(DataCentreId dataCentre, InetSocketAddress address) {
    CoordinatorLink link = links.get(dataCentre);
    if (link == null) {
      return;
    }
    if (awaitsList(dataCentre)) {
      postponed.put(dataCentre, address);
    } else {
      link.connect(address);
    }
  }

  private synchronized boolean awaitsList(DataCentreId dataCentre) {
    return !directory.isListed() && startup.postponesLink(dataCentre.equals(here), clock.millis());
  }

  /** Opens the links that have waited for the endpoint list. */
  void connectPostponed() {
    postponed.forEach(
        (dataCentre, address) -> {
          if (!awaitsList(dataCentre)) {
            postponed.remove(dataCentre, address);
            links.get(dataCentre).connect(address);
          }
        });
  }

  private void write() {
    CoordinatorLease proposal;
    OptionalLong expected;
    synchronized (this) {
      proposal = election.proposal();
      expected = election.expected();
    }
    store
        .write(StoreKind.LEASES, here.value(), proposal, expected)
        .whenComplete((result, failure) -> loop.execute(() -> leaseWritten(proposal, result)));
  }

  private void leaseWritten(CoordinatorLease proposal, WriteResult<CoordinatorLease> result) {
    boolean changed;
    boolean holding;
    long epoch;
    long revision;
    WriteResult<CoordinatorLease> known = result == null ? new WriteResult.Unknown<>() : result;
    synchronized (this) {
      changed = election.written(known, clock.millis());
      holding = election.isHolding();
      epoch = election.epoch();
      revision = election.revision();
      if (known instanceof WriteResult.Written) {
        freezes.leaseRenewed();
      }
    }
    if (changed) {
      log.event("lease")
          .with("holding", holding)
          .with("epoch", proposal.epoch())
          .with("revision", revision)
          .with("result", String.valueOf(result))
          .write();
    }
    if (changed && holding) {
      startCoordinating(epoch, revision);
    } else if (changed) {
      coordinator.setStopping(true);
      coordinator.deactivate("lease lost");
    }
    if (holding) {
      coordinator.renewed(revision);
    } else if (known instanceof WriteResult.Conflict<CoordinatorLease> conflict) {
      conflict.current().ifPresent(this::connect);
    }
  }

  private void startCoordinating(long epoch, long revision) {
    CoordinatorLease lease;
    synchronized (this) {
      lease = election.proposal();
    }
    coordinator.activate(epoch);
    coordinator.renewed(revision);
    if (lease != null) {
      links.get(here).connect(lease.address());
    }
  }

  /** Returns the data centres whose coordinator is connected, this daemon's own first. */
  List<DataCentreId> coordinatedDataCentres() {
    return links.values().stream()
        .filter(CoordinatorLink::isUp)
        .map(CoordinatorLink::dataCentre)
        .sorted(Comparator.comparing((DataCentreId dc) -> !dc.equals(here)))
        .toList();
  }

  /** Returns the coordinators of other data centres that are connected. */
  List<LinkMessage.CoordinatorAddress> otherCoordinators() {
    return links.values().stream()
        .filter(link -> !link.dataCentre().equals(here))
        .flatMap(link -> link.coordinator().stream())
        .toList();
  }

  /** Called when an adapter has become idle in a data centre; must not block. */
  void idle(DataCentreId dataCentre) {
    CoordinatorLink link = links.get(dataCentre);
    if (link != null) {
      link.idle();
    }
  }

  /** Returns whether coordinators will send a starting daemon what it would ask the store for. */
  synchronized boolean expectsCoordinators() {
    return startup.awaitsCoordinators() && !election.isHolding();
  }

  /**
   * Returns the source of permits for requests to limited endpoints.
   *
   * @param regions the number of regions; daemons of another one have no link to the coordinator of
   *     an endpoint, and each region is assumed to have as many daemons as this one
   */
  PermitSource permits(int regions) {
    return new PermitSource() {
      @Override
      public boolean isConnected(DataCentreId dataCentre) {
        CoordinatorLink link = links.get(dataCentre);
        return link != null && link.isUp();
      }

      @Override
      public int daemons() {
        synchronized (fleet) {
          return fleet.daemons() * regions;
        }
      }

      @Override
      public void ask(
          DataCentreId dataCentre,
          EndpointId endpoint,
          double requestsPerS,
          int mostAtOnce,
          long usefulMs) {
        CoordinatorLink link = links.get(dataCentre);
        if (link != null) {
          // A send that fails closes the link, which takes the locks of all groups.
          loop.execute(
              () ->
                  link.send(
                      new LinkMessage.PermitRequest(endpoint, requestsPerS, mostAtOnce, usefulMs)));
        }
      }
    };
  }

  /** Sends a message to a data centre's coordinator; returns false if there is none. */
  boolean send(DataCentreId dataCentre, LinkMessage message) {
    CoordinatorLink link = links.get(dataCentre);
    return link != null && link.send(message);
  }

  /** Returns whether a coordinator is connected. */
  boolean hasCoordinator() {
    return links.values().stream().anyMatch(CoordinatorLink::isUp);
  }

  /** Sends a message to all connected coordinators. */
  void sendToAll(LinkMessage message) {
    loop.execute(() -> links.values().forEach(link -> link.send(message)));
  }

  /** Reports that an endpoint refused a request for an adapter that it was assumed to hold. */
  void reportMiss(
      DataCentreId dataCentre, EndpointId endpoint, AdapterName adapter, boolean early) {
    CoordinatorLink link = links.get(dataCentre);
    if (link != null) {
      link.send(new LinkMessage.AdapterMiss(endpoint, adapter, early));
    }
  }
}
