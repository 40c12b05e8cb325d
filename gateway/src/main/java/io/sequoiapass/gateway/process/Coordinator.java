package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.UsageAllocator;
import io.sequoiapass.coordination.process.WorkspaceShare;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.daemon.connection.FrameListener;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointNotice;
import io.sequoiapass.gateway.spi.EndpointOrder;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import io.sequoiapass.gateway.spi.OrderResult;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.function.Supplier;

/**
 * Coordinates the engines of one data centre while this process holds the lease: collects usage
 * reports, plans loads with its {@link PlacementPlan}, sends orders and publishes what the engines
 * hold.
 *
 * <p>Safe for use by several threads; its plan and links are one shard of state under one lock.
 */
final class Coordinator {

  /** Timeout of an order, in milliseconds. */
  private static final long ORDER_TIMEOUT_MS = 120;

  /** A daemon that sends nothing for this long is disconnected, in milliseconds. */
  private static final long IDLE_TIMEOUT_MS = 2_000;

  private static final double PERCENT = 100;

  private final DaemonId daemon;
  private final DataCentreId here;
  private final EndpointDirectory directory;
  private final EndpointProtocol protocol;
  private final EndpointCalls calls;
  private final TaskGuard guard;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final DecisionLog log;
  private final PlacementPlan plan;
  private final LoadQueue loadQueue;
  private final LoadRouter router;
  private final LongPredicate mayOrder;
  private final PermitGrants permits;
  private final PeerOffers peers = new PeerOffers();
  private final LinkListings listings;
  private final List<CoordinatorModule> modules;
  private final Runnable onFenced;
  private final Map<FrameChannel, LinkedDaemon> links = new HashMap<>();
  private boolean active;
  private long epoch;
  private long revision;
  private boolean stopping;
  private final PlacementPublisher publisher = new PlacementPublisher(links);
  private final EndpointUpdateBatch endpointUpdates = new EndpointUpdateBatch();
  private final List<LinkMessage.Release> releases = new ArrayList<>();
  private int rounds;
  private final Supplier<UsageAllocator> newAllocator;
  private UsageAllocator usage;
  private List<WorkspaceShare> workspaceShares = List.of();
  private long provedRevision;

  /**
   * Creates a coordinator that is not active.
   *
   * @param settings this daemon and its data centre
   * @param directory the endpoints
   * @param plan the plan
   * @param io protocol, client, executor, clock and log
   * @param newAllocator creates an allocator of usage limits for a new term
   * @param mayOrder whether an order may be sent at a time
   * @param mayGrant whether no other coordinator grants permits at a time
   * @param onFenced runs when an endpoint has received a higher epoch
   */
  Coordinator(
      CoordinatorSettings settings,
      EndpointDirectory directory,
      PlacementPlan plan,
      Io io,
      Supplier<UsageAllocator> newAllocator,
      LongPredicate mayOrder,
      LongPredicate mayGrant,
      Runnable onFenced) {
    this.daemon = settings.daemon();
    this.here = settings.dataCentre();
    this.directory = directory;
    this.plan = plan;
    this.loadQueue =
        new LoadQueue(plan, adapter -> directory.isHeldOutside(settings.dataCentre(), adapter));
    this.router =
        new LoadRouter(
            plan,
            loadQueue,
            (adapter, version) -> directory.copyOutside(settings.dataCentre(), adapter, version));
    this.modules = CoordinatorModules.create(settings, io, directory, plan, loadQueue, mayGrant);
    this.listings =
        new LinkListings(links, settings.linkBytesPerS(), directory, plan, io, this::status);
    this.protocol = io.protocol();
    this.calls = io.calls();
    this.loop = io.loop();
    this.clock = io.clock();
    this.log = io.log();
    this.newAllocator = newAllocator;
    this.usage = newAllocator.get();
    this.mayOrder = mayOrder;
    this.permits = new PermitGrants(this, links, mayGrant, io.loop(), io.clock());
    this.onFenced = onFenced;
    this.guard = TaskGuard.counting(io.log(), io.metrics(), io.clock());
  }

  /**
   * Protocol, client, executor, clock, log, versions, verdicts and counters.
   *
   * @param protocol the protocol of the endpoints
   * @param calls the client for calls
   * @param loop runs callbacks
   * @param clock the monotonic clock
   * @param log the log
   * @param versions the newest versions of adapters
   * @param parts the verdicts on parts of prompts
   * @param metrics the counters
   */
  record Io(
      EndpointProtocol protocol,
      EndpointCalls calls,
      ScheduledExecutorService loop,
      MillisClock clock,
      DecisionLog log,
      AdapterVersions versions,
      PartVerdictUpdates parts,
      GatewayMetrics metrics) {}

  /** Sets what this daemon knows of the store and of other coordinators. */
  synchronized void use(DaemonView daemonView) {
    listings.use(daemonView);
  }

  /** Returns a listener that forwards changes of the endpoint list to the linked daemons. */
  EndpointDirectory.Watcher watcher() {
    return new EndpointDirectory.Watcher() {
      @Override
      public void listed(LinkMessage.ListedEndpoint entry) {
        synchronized (Coordinator.this) {
          if (active) {
            endpointUpdates.add(entry);
          }
        }
      }

      @Override
      public void unlisted(LinkMessage.GoneEndpoint endpoint) {
        synchronized (Coordinator.this) {
          if (active) {
            endpointUpdates.add(endpoint);
          }
        }
      }
    };
  }

  /** Starts coordinating under an epoch. */
  synchronized void activate(long newEpoch) {
    active = true;
    publisher.activated();
    endpointUpdates.clear();
    releases.clear();
    usage = newAllocator.get();
    permits.clear();
    boolean isFirst = newEpoch == CoordinatorElection.FIRST_EPOCH;
    listings.activated(isFirst);
    modules.forEach(module -> module.activated(isFirst, clock.millis()));
    stopping = false;
    epoch = newEpoch;
    plan.requireReports();
    observe();
    log.event("coordinator_started").with("data_centre", here).with("epoch", epoch).write();
  }

  /** Stops coordinating, because another daemon holds the lease or this process stops. */
  synchronized void deactivate(String reason) {
    if (!active) {
      return;
    }
    active = false;
    log.event("coordinator_ended").with("epoch", epoch).with("reason", reason).write();
    new ArrayList<>(links.keySet()).forEach(FrameChannel::close);
    links.clear();
    listings.deactivated();
  }

  /**
   * Sets whether this coordinator leaves, of which it notifies the daemons.
   *
   * @param newStopping whether the lease is being released
   */
  synchronized void setStopping(boolean newStopping) {
    if (stopping == newStopping) {
      return;
    }
    stopping = newStopping;
    permits.clear();
    listings.queueStatus();
    links.keySet().forEach(FrameChannel::flush);
  }

  /** Sets the newest revision of the lease. */
  synchronized void renewed(long newRevision) {
    revision = newRevision;
  }

  /** Returns the bytes that wait to be sent to the linked daemons. */
  synchronized long unsentBytes() {
    return links.keySet().stream().mapToLong(FrameChannel::unsentBytes).sum();
  }

  /** Updates the plan with the directory's endpoints of this data centre. */
  synchronized void observe() {
    if (!active) {
      return;
    }
    long now = clock.millis();
    Set<EndpointId> present = new HashSet<>();
    for (EndpointGroup group : directory.groups()) {
      group
          .engine()
          .ifPresent(
              engine -> {
                for (EndpointEntry entry : group.entries(now)) {
                  if (entry.dataCentre().equals(here)) {
                    present.add(entry.endpoint());
                    if (plan.observe(entry, engine, now)) {
                      plan.restoreCache(entry.endpoint(), group.recentAdapters(entry.endpoint()));
                    }
                    plan.setReadingSpeed(
                        entry.endpoint(), group.tokensPerMs(entry.endpoint(), now));
                  }
                }
              });
    }
    plan.retain(present);
    work(now);
  }

  /** Handles a new version of an adapter. */
  synchronized void released(AdapterName adapter, long version) {
    plan.removeFromCaches(adapter);
    listings.released();
    if (active) {
      releases.add(new LinkMessage.Release(adapter, version));
      plan.released(adapter, version, clock.millis());
      work(clock.millis());
    }
  }

  /** Performs periodic work; called several times a second. */
  synchronized void tick() {
    if (!active) {
      return;
    }
    long now = clock.millis();
    closeIdle(now);
    plan.setReportInterval(BroadcastInterval.intervalMs(links.size()));
    guard.run("outdated adapters", () -> plan.replaceOutdated(now));
    guard.run("placement", () -> plan.advance(now));
    guard.run("orders", () -> work(now));
    guard.run("permits", () -> permits.grant(now));
    guard.run("listings", () -> listings.tick(now));
    rounds++;
    if (rounds % BroadcastInterval.rounds(links.size()) == 0) {
      sendRound(now);
    }
  }

  /** Sends what is due as one write to each daemon. */
  private void sendRound(long now) {
    // Releases precede the status, which reports the revision up to which they are complete.
    if (!releases.isEmpty()) {
      queueAll(new LinkMessage.Releases(releases));
      releases.clear();
    }
    modules.forEach(
        module -> guard.run(module.getClass().getSimpleName(), () -> module.queue(links, now)));
    guard.run("usage", () -> allocateUsage(now));
    listings.queueStatus();
    guard.run("updates", () -> endpointUpdates.drain().ifPresent(listings::queueUpdates));
    guard.run("placements", () -> publisher.queue(now));
    guard.run("loads", this::queueLoads);
    links.keySet().forEach(FrameChannel::flush);
  }

  /**
   * Called before this daemon asks the store for the configuration; the returned action is to run
   * once the answer has been applied. Reports that arrive in between prove nothing.
   */
  synchronized LongConsumer configurationAsked() {
    Map<LinkedDaemon, ClockReading> asked = new HashMap<>();
    links.values().stream()
        .filter(linked -> linked.lastReport != null)
        .forEach(linked -> asked.put(linked, linked.lastReport));
    return revisionRead -> configurationAnswered(asked, revisionRead);
  }

  private synchronized void configurationAnswered(
      Map<LinkedDaemon, ClockReading> asked, long revisionRead) {
    provedRevision = revisionRead;
    asked.forEach((linked, clocks) -> linked.proved = Optional.of(clocks));
  }

  private void allocateUsage(long now) {
    List<UsageAllocator.Allocation> allocations = usage.allocate(now);
    workspaceShares =
        allocations.stream().map(one -> new WorkspaceShare(one.workspace(), one.share())).toList();
    for (UsageAllocator.Allocation one : allocations) {
      log.event("usage_limited")
          .with("workspace", one.workspace())
          .with("share", Math.round(one.share() * PERCENT) / PERCENT)
          .with("asked_per_s", Math.round(one.askedPerS()))
          .with("allowed_per_s", Math.round(one.allowedPerS()))
          .with("used", Math.round(one.used() * PERCENT) / PERCENT)
          .write();
    }
  }

  private void queueAll(LinkMessage message) {
    byte[] frame = LinkFrames.encode(message);
    links.keySet().forEach(channel -> channel.queue(frame));
  }

  private void closeIdle(long now) {
    for (Map.Entry<FrameChannel, LinkedDaemon> link : new ArrayList<>(links.entrySet())) {
      if (now - link.getValue().lastReceivedAt > IDLE_TIMEOUT_MS) {
        link.getKey().close();
      }
    }
  }

  private LinkMessage.CoordinatorStatus status(DaemonView view) {
    return new LinkMessage.CoordinatorStatus(
        epoch,
        revision,
        links.size(),
        stopping,
        view.of(StoreFreshness.Topic.CONFIGURATION),
        view.of(StoreFreshness.Topic.RELEASES),
        view.of(StoreFreshness.Topic.ENDPOINTS),
        plan.loadTimes(clock.millis()),
        !loadQueue.isEmpty(),
        workspaceShares,
        usage.hasCountedAWindow(clock.millis()),
        view.coordinators());
  }

  /** The list is the same for all daemons and is encoded once. */
  private void queueLoads() {
    List<LinkMessage.EndpointLoad> loads = new ArrayList<>();
    plan.loads()
        .forEach((endpoint, load) -> loads.add(new LinkMessage.EndpointLoad(endpoint, load)));
    byte[] list = LinkFrames.encodeLoads(loads);
    links.forEach(
        (channel, linked) -> {
          if (linked.daemon != null) {
            channel.queue(
                LinkFrames.loads(
                    linked.proved, provedRevision, Optional.ofNullable(linked.lastReport), list));
          }
        });
  }

  /** Assigns slots, requests due reports, sends due orders and publishes changes. */
  private void work(long now) {
    if (!active || stopping) {
      return;
    }
    if (mayOrder.test(now)) {
      loadQueue.dispatch(now).forEach(this::rejectExpired);
      plan.dueForReport(now).forEach(this::requestReport);
      plan.endpoints().forEach(id -> order(id, now));
    }
    publisher.publish(plan.drainChanges(), now);
  }

  private void rejectExpired(LoadQueue.Expired expired) {
    byte[] frame =
        LinkFrames.encode(new LinkMessage.LoadRejected(expired.adapter(), expired.retryAfterMs()));
    publisher.subscribersOf(expired.adapter()).forEach(channel -> channel.send(frame));
  }

  private void requestReport(EndpointEntry entry) {
    calls
        .report(protocol.reportCall(entry.endpoint(), entry.address()), ORDER_TIMEOUT_MS)
        .whenComplete(
            (answer, failure) -> loop.execute(() -> reported(entry.endpoint(), answer, failure)));
  }

  private synchronized void reported(EndpointId endpoint, HttpAnswer answer, Throwable failure) {
    long now = clock.millis();
    noticed(endpoint, answer, now);
    plan.reported(endpoint, failure == null ? protocol.report(answer) : Optional.empty(), now);
    guard.run("orders", () -> work(now));
  }

  private void order(EndpointId endpoint, long now) {
    plan.nextOrder(endpoint, daemon, epoch, now)
        .ifPresent(
            order ->
                calls
                    .order(order, protocol.orderCall(order), ORDER_TIMEOUT_MS)
                    .whenComplete(
                        (answer, failure) ->
                            loop.execute(() -> ordered(order, answer, failure, now))));
  }

  private void ordered(EndpointOrder order, HttpAnswer answer, Throwable failure, long sentAt) {
    OrderResult result = failure == null ? protocol.orderResult(answer) : OrderResult.UNKNOWN;
    boolean fenced;
    synchronized (this) {
      long now = clock.millis();
      log.event("order")
          .with("type", order.type())
          .with("endpoint", order.endpoint())
          .with("model", order.model())
          .with("adapter", order.adapter().map(Object::toString).orElse(""))
          .with("epoch", order.epoch())
          .with("sequence", order.expectedSequence())
          .with("result", result)
          .with("took_ms", now - sentAt)
          .write();
      plan.ordered(order, result, now);
      noticed(order.endpoint(), answer, now);
      fenced = result == OrderResult.FENCED && order.epoch() == epoch && active;
      if (!fenced) {
        work(now);
      }
    }
    if (fenced) {
      onFenced.run();
    }
  }

  private void noticed(EndpointId endpoint, HttpAnswer answer, long now) {
    if (answer != null) {
      EndpointNotice notice = protocol.notice(answer.status(), answer.headers());
      directory.groupOf(endpoint).ifPresent(group -> group.noticed(endpoint, notice, now, now));
    }
  }

  /** Returns a listener for the link of one daemon. */
  FrameListener listener() {
    return new FrameListener() {
      @Override
      public void opened(FrameChannel channel) {
        link(channel);
      }

      @Override
      public void received(FrameChannel channel, byte[] frame) throws LinkFrames.FormatException {
        receive(channel, LinkFrames.decode(frame));
      }

      @Override
      public void closed(FrameChannel channel) {
        unlink(channel);
      }
    };
  }

  private synchronized void link(FrameChannel channel) {
    if (!active) {
      channel.close();
      return;
    }
    LinkedDaemon linked = new LinkedDaemon(channel);
    linked.lastReceivedAt = clock.millis();
    links.put(channel, linked);
  }

  private synchronized void unlink(FrameChannel channel) {
    LinkedDaemon linked = links.remove(channel);
    publisher.unlinked(channel);
    listings.unlinked(channel);
    if (linked != null && linked.daemon != null) {
      loadQueue.unlinked(linked);
      plan.removeDaemon(linked.daemon);
      modules.forEach(module -> module.unlinked(linked, clock.millis()));
      permits.remove(linked.daemon);
      usage.lost(linked.daemon, clock.millis());
      log.event("daemon_unlinked").with("peer", linked.daemon).write();
    }
  }

  private synchronized void receive(FrameChannel channel, LinkMessage message) {
    LinkedDaemon linked = links.get(channel);
    if (linked == null || !active) {
      return;
    }
    long now = clock.millis();
    linked.lastReceivedAt = now;
    modules.forEach(module -> module.receive(linked, message, now));
    if (message instanceof LinkMessage.Hello hello) {
      linked.daemon = hello.daemon();
      linked.dataCentre = hello.dataCentre();
      linked.endpointsRevision = hello.endpointsRevision();
      listings.linked(channel, now);
      peers.linked(links.values(), channel, linked, hello.peers());
      log.event("daemon_linked").with("peer", hello.daemon()).with("links", links.size()).write();
    } else if (message instanceof LinkMessage.UsageReport report && linked.daemon != null) {
      linked.coordinates = report.coordinator();
      linked.lastReport = report.sentAt();
      peers.reported(links.values(), channel, linked, report.servesPeers());
      plan.updateUsage(linked.daemon, report.usages(), now);
      usage.report(linked.daemon, linked.dataCentre, report.workspaces(), now);
      if (!loadQueue.isEmpty()) {
        work(now);
      }
    } else if (message instanceof LinkMessage.LoadRequest request) {
      handleLoadRequest(channel, request, now);
    } else if (message instanceof LinkMessage.AdapterMiss miss) {
      plan.missed(miss.endpoint(), miss.adapter(), miss.early(), now);
      work(now);
    } else if (message instanceof LinkMessage.PermitRequest ask && linked.daemon != null) {
      permits.ask(channel, ask, now);
    }
  }

  private void handleLoadRequest(FrameChannel channel, LinkMessage.LoadRequest request, long now) {
    publisher.subscribe(request.adapter(), channel, now);
    LoadReply reply = router.route(request, links.get(channel), now);
    if (reply instanceof LoadReply.Rejected rejected) {
      channel.send(
          LinkFrames.encode(
              new LinkMessage.LoadRejected(request.adapter(), rejected.retryAfterMs())));
    } else if (reply instanceof LoadReply.HeldElsewhere elsewhere) {
      channel.send(
          LinkFrames.encode(new LinkMessage.Placements(false, List.of(elsewhere.placement()))));
    }
    work(now);
  }
}
