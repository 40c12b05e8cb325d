package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.daemon.connection.FrameListener;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointOrder;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import io.sequoiapass.gateway.spi.OrderResult;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongPredicate;

/**
 * Runs the coordinator of one data centre while this process holds its lease: hears what the
 * daemons do, decides by its {@link PlacementPlan}, gives the orders and tells everybody what the
 * engines hold.
 *
 * <p>Safe for use by several threads; its plan and links are one shard of state under one lock.
 */
final class Coordinator {

  /**
   * How long an order may go unanswered, in milliseconds: engines answer in a few, and callers wait
   * for the adapter meanwhile.
   */
  private static final long ORDER_TIMEOUT_MS = 120;

  /**
   * A daemon that is silent for this long has left, in milliseconds; it speaks five times a second.
   */
  private static final long SILENT_MS = 2_000;

  private final DaemonId daemon;
  private final DataCentreId here;
  private final EndpointDirectory directory;
  private final EndpointProtocol protocol;
  private final HttpClient http;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final DecisionLog log;
  private final PlacementPlan plan;
  private final WaitingNeeds waiting;
  private final LongPredicate mayOrder;
  private final Runnable onFenced;
  private StoreKnowledge store = topic -> LinkMessage.StoreView.NONE;
  private final Map<FrameChannel, Linked> links = new HashMap<>();
  private boolean active;
  private long epoch;
  private long revision;
  private boolean stopping;

  private final Askers askers = new Askers();
  private final PlacementBulletin bulletin = new PlacementBulletin();
  private final List<LinkMessage.ListedEndpoint> listed = new ArrayList<>();
  private final List<LinkMessage.GoneEndpoint> gone = new ArrayList<>();
  private long listedUpTo;
  private int rounds;

  /** A daemon that is linked. */
  private static final class Linked {
    private DaemonId daemon;
    private long heardAt;
  }

  /** What the coordinator itself knows of the store, for those that rely on it. */
  interface StoreKnowledge {

    /** Returns how well a topic is known. */
    LinkMessage.StoreView of(RelayedViews.Topic topic);
  }

  /**
   * Makes a coordinator that is not active.
   *
   * @param settings who and where it is
   * @param directory the endpoints
   * @param plan decides
   * @param io what carries orders
   * @param mayOrder whether an order may be given at a time
   * @param onFenced runs when an endpoint has seen a higher epoch
   */
  Coordinator(
      CoordinatorSettings settings,
      EndpointDirectory directory,
      PlacementPlan plan,
      Io io,
      LongPredicate mayOrder,
      Runnable onFenced) {
    this.daemon = settings.daemon();
    this.here = settings.dataCentre();
    this.directory = directory;
    this.plan = plan;
    this.waiting =
        new WaitingNeeds(plan, adapter -> directory.isHeldOutside(settings.dataCentre(), adapter));
    this.protocol = io.protocol();
    this.http = io.http();
    this.loop = io.loop();
    this.clock = io.clock();
    this.log = io.log();
    this.mayOrder = mayOrder;
    this.onFenced = onFenced;
  }

  /**
   * Who and where a coordinator is.
   *
   * @param daemon this daemon
   * @param dataCentre its data centre
   */
  record CoordinatorSettings(DaemonId daemon, DataCentreId dataCentre) {}

  /**
   * What carries orders, time and log lines.
   *
   * @param protocol the names that endpoints speak
   * @param http carries calls
   * @param loop runs what comes later
   * @param clock the monotonic clock
   * @param log the log
   */
  record Io(
      EndpointProtocol protocol,
      HttpClient http,
      ScheduledExecutorService loop,
      MillisClock clock,
      DecisionLog log) {}

  /** Sets what this daemon knows of the store. */
  synchronized void use(StoreKnowledge knowledge) {
    store = knowledge;
  }

  /** Returns what hears of changes in the list of endpoints, to tell the linked daemons. */
  EndpointDirectory.Watcher watcher() {
    return new EndpointDirectory.Watcher() {
      @Override
      public void listed(LinkMessage.ListedEndpoint entry) {
        noteListed(entry);
      }

      @Override
      public void unlisted(LinkMessage.GoneEndpoint endpoint) {
        noteGone(endpoint);
      }
    };
  }

  private synchronized void noteListed(LinkMessage.ListedEndpoint entry) {
    if (active) {
      listed.add(entry);
      listedUpTo = Math.max(listedUpTo, entry.revision());
    }
  }

  private synchronized void noteGone(LinkMessage.GoneEndpoint endpoint) {
    if (active) {
      gone.add(endpoint);
      listedUpTo = Math.max(listedUpTo, endpoint.revision());
    }
  }

  /** Begins to coordinate under an epoch. */
  synchronized void activate(long newEpoch) {
    active = true;
    bulletin.clear();
    listed.clear();
    gone.clear();
    stopping = false;
    epoch = newEpoch;
    plan.forgetSync();
    observe();
    log.belief("coordinator_started").with("data_centre", here).with("epoch", epoch).write();
  }

  /** Ends coordinating: another holds the lease, or this process stops. */
  synchronized void deactivate(String reason) {
    if (!active) {
      return;
    }
    active = false;
    log.belief("coordinator_ended").with("epoch", epoch).with("reason", reason).write();
    new ArrayList<>(links.keySet()).forEach(FrameChannel::close);
    links.clear();
  }

  /** Tells the daemons that the lease is being given up. */
  synchronized void stop() {
    stopping = true;
    sendStandings();
  }

  /** Takes note of the lease's newest revision. */
  synchronized void renewed(long newRevision) {
    revision = newRevision;
  }

  /** Takes in the endpoints of this data centre from the directory. */
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
                      plan.recall(entry.endpoint(), group.heldLately(entry.endpoint()));
                    }
                    plan.learned(entry.endpoint(), group.tokensPerMs(entry.endpoint(), now));
                  }
                }
              });
    }
    plan.retain(present);
    work(now);
  }

  /** Takes in a new version of an adapter. */
  synchronized void released(AdapterName adapter, long version) {
    plan.outdated(adapter);
    if (active) {
      plan.released(adapter, version, clock.millis());
      work(clock.millis());
    }
  }

  /** Does what is due; called several times a second. */
  synchronized void tick() {
    if (!active) {
      return;
    }
    long now = clock.millis();
    closeSilent(now);
    plan.replaceOutdated(now);
    plan.advance(now);
    work(now);
    rounds++;
    if (rounds % TellingPace.rounds(links.size()) == 0) {
      sendStandings();
      sendListChanges();
      sendBulletin(now);
      links.forEach(this::sendLoads);
    }
  }

  private void sendListChanges() {
    if (listed.isEmpty() && gone.isEmpty()) {
      return;
    }
    sendAll(new LinkMessage.Endpoints(false, listedUpTo, listed, gone));
    listed.clear();
    gone.clear();
  }

  private void sendBulletin(long now) {
    List<LinkMessage.Placement> news = bulletin.take(now);
    if (!news.isEmpty()) {
      sendAll(new LinkMessage.Placements(false, news));
    }
    askers.forget(now);
  }

  private void sendAll(LinkMessage message) {
    byte[] frame = LinkFrames.encode(message);
    links.keySet().forEach(channel -> channel.send(frame));
  }

  private void closeSilent(long now) {
    for (Map.Entry<FrameChannel, Linked> link : new ArrayList<>(links.entrySet())) {
      if (now - link.getValue().heardAt > SILENT_MS) {
        link.getKey().close();
      }
    }
  }

  private void sendStandings() {
    sendAll(standing());
  }

  private LinkMessage.Standing standing() {
    return new LinkMessage.Standing(
        epoch,
        revision,
        links.size(),
        stopping,
        store.of(RelayedViews.Topic.CONFIGURATION),
        store.of(RelayedViews.Topic.RELEASES),
        store.of(RelayedViews.Topic.ENDPOINTS),
        plan.outlook(clock.millis()),
        !waiting.isEmpty());
  }

  private void sendLoads(FrameChannel channel, Linked linked) {
    if (linked.daemon == null) {
      return;
    }
    List<LinkMessage.EndpointLoad> loads = new ArrayList<>();
    plan.loadsWithout(linked.daemon)
        .forEach((endpoint, load) -> loads.add(new LinkMessage.EndpointLoad(endpoint, load)));
    channel.send(LinkFrames.encode(new LinkMessage.Loads(loads)));
  }

  /** Asks, orders and tells, as far as each is due. */
  private void work(long now) {
    if (!active || stopping) {
      return;
    }
    if (mayOrder.test(now)) {
      waiting.place(now).forEach(this::tellNoRoom);
      plan.toAsk(now).forEach(this::ask);
      plan.ids().forEach(id -> order(id, now));
    }
    tell(plan.takeNews(), now);
  }

  private void tellNoRoom(WaitingNeeds.Hopeless hopeless) {
    byte[] frame =
        LinkFrames.encode(new LinkMessage.NoRoom(hopeless.adapter(), hopeless.comeBackMs()));
    askers.of(hopeless.adapter()).forEach(channel -> channel.send(frame));
  }

  /**
   * News goes at once to the daemons whose requests wait for it. The others hear it with the next
   * bulletin: at 79 daemons 140 frames a second to each of them were most of what they did.
   */
  private void tell(List<LinkMessage.Placement> news, long now) {
    if (news.isEmpty()) {
      return;
    }
    if (TellingPace.tellsAtOnce(links.size())) {
      sendAll(new LinkMessage.Placements(false, news));
      return;
    }
    bulletin.add(news, now);
    Map<FrameChannel, List<LinkMessage.Placement>> wanted = new HashMap<>();
    for (LinkMessage.Placement placement : news) {
      for (FrameChannel channel : askers.of(placement.adapter())) {
        wanted.computeIfAbsent(channel, any -> new ArrayList<>()).add(placement);
      }
    }
    wanted.forEach(
        (channel, placements) ->
            channel.send(LinkFrames.encode(new LinkMessage.Placements(false, placements))));
  }

  private void ask(EndpointEntry entry) {
    http.send(protocol.reportCall(entry.endpoint(), entry.address()), ORDER_TIMEOUT_MS)
        .whenComplete(
            (answer, failure) -> loop.execute(() -> asked(entry.endpoint(), answer, failure)));
  }

  private synchronized void asked(EndpointId endpoint, HttpAnswer answer, Throwable failure) {
    long now = clock.millis();
    plan.asked(endpoint, failure == null ? protocol.report(answer) : Optional.empty(), now);
    work(now);
  }

  private void order(EndpointId endpoint, long now) {
    plan.nextOrder(endpoint, daemon, epoch, now)
        .ifPresent(
            order ->
                http.send(protocol.orderCall(order), ORDER_TIMEOUT_MS)
                    .whenComplete(
                        (answer, failure) ->
                            loop.execute(() -> ordered(order, answer, failure, now))));
  }

  private void ordered(EndpointOrder order, HttpAnswer answer, Throwable failure, long sentAt) {
    OrderResult result = failure == null ? protocol.orderResult(answer) : OrderResult.UNKNOWN;
    boolean shutOut;
    synchronized (this) {
      long now = clock.millis();
      log.belief("order")
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
      shutOut = result == OrderResult.FENCED && order.epoch() == epoch && active;
      if (!shutOut) {
        work(now);
      }
    }
    if (shutOut) {
      onFenced.run();
    }
  }

  /** Returns what hears one daemon's link. */
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
    Linked linked = new Linked();
    linked.heardAt = clock.millis();
    links.put(channel, linked);
  }

  private synchronized void unlink(FrameChannel channel) {
    Linked linked = links.remove(channel);
    askers.left(channel);
    if (linked != null && linked.daemon != null) {
      plan.left(linked.daemon);
      log.belief("daemon_unlinked").with("peer", linked.daemon).write();
    }
  }

  private synchronized void receive(FrameChannel channel, LinkMessage message) {
    Linked linked = links.get(channel);
    if (linked == null || !active) {
      return;
    }
    long now = clock.millis();
    linked.heardAt = now;
    if (message instanceof LinkMessage.Hello hello) {
      linked.daemon = hello.daemon();
      welcome(channel, now);
      log.belief("daemon_linked").with("peer", hello.daemon()).with("links", links.size()).write();
    } else if (message instanceof LinkMessage.Doing doing && linked.daemon != null) {
      plan.doing(linked.daemon, doing.activities(), now);
      if (!waiting.isEmpty()) {
        work(now);
      }
    } else if (message instanceof LinkMessage.Need need) {
      need(channel, need, now);
    } else if (message instanceof LinkMessage.Missed missed) {
      plan.missed(missed.endpoint(), missed.adapter(), missed.early(), now);
      work(now);
    }
  }

  private void welcome(FrameChannel channel, long now) {
    channel.send(LinkFrames.encode(directory.whole()));
    channel.send(LinkFrames.encode(standing()));
    channel.send(LinkFrames.encode(new LinkMessage.Placements(true, plan.whole(now))));
  }

  private void need(FrameChannel channel, LinkMessage.Need need, long now) {
    askers.asked(need.adapter(), channel, now);
    RequestSize size = new RequestSize(need.promptTokens(), need.outputTokens());
    WaitingNeeds.Wish wish =
        new WaitingNeeds.Wish(
            need.adapter(), need.version(), size, now + need.inTimeMs(), now + need.waitMs());
    Need result =
        need.waitMs() > 0
            ? waiting.needOrWait(wish, now)
            : plan.need(need.adapter(), need.version(), need.another(), size, now);
    if (result instanceof Need.NoRoom) {
      channel.send(
          LinkFrames.encode(new LinkMessage.NoRoom(need.adapter(), waiting.turnMs(wish, now))));
    }
    work(now);
  }
}
