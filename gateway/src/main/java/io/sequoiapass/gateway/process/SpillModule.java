package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.EngineSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * States which shares of the demand for this coordinator's data centre go to its neighbours, and to
 * other coordinators the load that they decide from.
 *
 * <p>Not safe for use by several threads.
 */
final class SpillModule implements CoordinatorModule {

  /** Time after the start of a term until the daemons have reported, in milliseconds. */
  static final long SETTLE_MS = 1_500;

  /** Interval between two statements of the same shares, in milliseconds. */
  private static final long REPEAT_MS = 400;

  /** A smaller change of a share is not sent before the next repetition. */
  private static final double CHANGE = 0.02;

  private static final double PERCENT = 100;

  private final DataCentreId here;
  private final EndpointDirectory directory;
  private final PlacementPlan placement;
  private final LoadQueue loadQueue;
  private final SpillRoutes routes;
  private final DecisionLog log;
  private final Map<ServiceId, SpillPlan> plans = new HashMap<>();
  private final Map<ServiceId, Long> beganAt = new HashMap<>();
  private final Map<LinkedDaemon, Calls> calls = new HashMap<>();
  private Map<Target, Double> sent = Map.of();
  private long sentAt;
  private long activatedAt;

  /** Requests of one daemon that run at plain endpoints here, by service. */
  private record Calls(DataCentreId dataCentre, Map<ServiceId, Integer> running) {}

  private record Target(ServiceId service, DataCentreId to) {}

  /**
   * Creates a module without shares.
   *
   * @param here the coordinator's data centre
   * @param directory the endpoints
   * @param placement what the engines hold
   * @param loadQueue the loads that wait for a slot
   * @param routes what coordinators state
   * @param log the log
   */
  SpillModule(
      DataCentreId here,
      EndpointDirectory directory,
      PlacementPlan placement,
      LoadQueue loadQueue,
      SpillRoutes routes,
      DecisionLog log) {
    this.here = here;
    this.directory = directory;
    this.placement = placement;
    this.loadQueue = loadQueue;
    this.routes = routes;
    this.log = log;
  }

  @Override
  public void activated(long now) {
    plans.clear();
    beganAt.clear();
    calls.clear();
    sent = Map.of();
    sentAt = now;
    activatedAt = now;
  }

  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    if (message instanceof LinkMessage.UsageReport report && from.daemon != null) {
      Map<ServiceId, Integer> running = new HashMap<>();
      for (EndpointUsage usage : report.usages()) {
        directory
            .entry(usage.endpoint())
            .filter(entry -> entry.dataCentre().equals(here))
            .ifPresent(
                entry -> running.merge(entry.service(), usage.load().running(), Integer::sum));
      }
      calls.put(from, new Calls(from.dataCentre, running));
    }
  }

  @Override
  public void unlinked(LinkedDaemon daemon, long now) {
    calls.remove(daemon);
  }

  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    Optional<RoomMessage.SpillShares> stated = statement(now);
    if (stated.isEmpty()) {
      return;
    }
    List<RoomMessage.SpillShare> shares = stated.get().shares();
    boolean isDue = isDue(shares, now);
    byte[] forCoordinators = LinkFrames.encode(stated.get());
    byte[] forDaemons =
        isDue ? LinkFrames.encode(new RoomMessage.SpillShares(List.of(), shares)) : null;
    links.forEach(
        (channel, linked) -> {
          if (linked.daemon != null && linked.coordinates) {
            channel.queue(forCoordinators);
          } else if (linked.daemon != null && isDue) {
            channel.queue(forDaemons);
          }
        });
  }

  /** Returns what other coordinators get in each round; empty until the daemons have reported. */
  Optional<RoomMessage.SpillShares> statement(long now) {
    if (now - activatedAt < SETTLE_MS) {
      return Optional.empty();
    }
    List<RoomMessage.SlotUse> loads = loads(now);
    return Optional.of(new RoomMessage.SpillShares(loads, update(loads, now)));
  }

  /** Returns whether shares must be sent to daemons now; the last statement is empty. */
  boolean isDue(List<RoomMessage.SpillShare> shares, long now) {
    Map<Target, Double> next = new HashMap<>();
    shares.forEach(one -> next.put(new Target(one.service(), one.to()), one.share()));
    boolean isChanged =
        !next.keySet().equals(sent.keySet())
            || next.entrySet().stream()
                .anyMatch(one -> Math.abs(one.getValue() - sent.get(one.getKey())) >= CHANGE);
    boolean isDue = isChanged || (!next.isEmpty() && now - sentAt >= REPEAT_MS);
    if (isDue) {
      sent = next;
      sentAt = now;
    }
    return isDue;
  }

  /** Returns the use of the endpoints of this data centre. */
  private List<RoomMessage.SlotUse> loads(long now) {
    Set<DataCentreId> places = new HashSet<>(routes.stating(now));
    places.add(here);
    Set<EndpointId> planned = Set.copyOf(placement.endpoints());
    List<RoomMessage.SlotUse> loads = new ArrayList<>();
    for (ServiceId service : directory.services()) {
      EndpointGroup group = directory.group(service);
      Optional<EngineSpec> engine = group.engine();
      Map<DataCentreId, Integer> used = new HashMap<>();
      int slots = 0;
      for (EndpointEntry entry : group.entries(now)) {
        if (entry.dataCentre().equals(here) && engine.isEmpty()) {
          slots += entry.slots();
        } else if (planned.contains(entry.endpoint()) && !entry.models().isEmpty()) {
          slots += engine.map(EngineSpec::adapterSlots).orElse(0);
          addHomes(placement.inUse(entry.endpoint(), now), places, used);
        }
      }
      if (engine.isPresent()) {
        addHomes(loadQueue.waiting(name -> isServed(engine.get(), name)), places, used);
      } else {
        calls
            .values()
            .forEach(
                one -> {
                  int running = one.running().getOrDefault(service, 0);
                  if (running > 0) {
                    used.merge(one.dataCentre(), running, Integer::sum);
                  }
                });
      }
      if (slots > 0 || !used.isEmpty()) {
        loads.add(new RoomMessage.SlotUse(service, slots, withoutBacklog(used, slots)));
      }
    }
    return loads;
  }

  /** Returns the use without what waits for long; to count that as demand would count it again. */
  private static Map<DataCentreId, Integer> withoutBacklog(
      Map<DataCentreId, Integer> used, int slots) {
    int total = used.values().stream().mapToInt(Integer::intValue).sum();
    double part = Math.min(1, slots * SpillPlan.MOST_USED / Math.max(1, total));
    Map<DataCentreId, Integer> counted = new HashMap<>();
    used.forEach((dataCentre, number) -> counted.put(dataCentre, (int) Math.round(number * part)));
    return counted;
  }

  private static boolean isServed(EngineSpec engine, AdapterName adapter) {
    return engine.model(adapter.model()).isPresent();
  }

  private static void addHomes(
      Set<AdapterName> adapters, Set<DataCentreId> places, Map<DataCentreId, Integer> used) {
    for (AdapterName adapter : adapters) {
      RendezvousHash.first(adapter.toString(), places)
          .ifPresent(home -> used.merge(home, 1, Integer::sum));
    }
  }

  private List<RoomMessage.SpillShare> update(List<RoomMessage.SlotUse> loads, long now) {
    plans
        .keySet()
        .retainAll(loads.stream().map(RoomMessage.SlotUse::service).collect(Collectors.toSet()));
    List<RoomMessage.SpillShare> stated = new ArrayList<>();
    for (RoomMessage.SlotUse own : loads) {
      ServiceId service = own.service();
      SpillPlan plan = plans.computeIfAbsent(service, any -> new SpillPlan(here));
      Map<DataCentreId, SpillPlan.Load> all = routes.loads(service, now);
      all.put(here, new SpillPlan.Load(own.slots(), own.used(), false));
      Map<DataCentreId, Double> shares = plan.update(all, now);
      shares.forEach((to, share) -> stated.add(new RoomMessage.SpillShare(service, to, share)));
      logChange(own, plan, shares, now);
    }
    return stated;
  }

  private void logChange(
      RoomMessage.SlotUse own, SpillPlan plan, Map<DataCentreId, Double> shares, long now) {
    ServiceId service = own.service();
    boolean sends = SpillPlan.sends(shares, here);
    if (sends && beganAt.putIfAbsent(service, now) == null) {
      log.event("spill_began")
          .with("service", service)
          .with("slots", own.slots())
          .with("wanted_slots", Math.round(plan.predicted(here)))
          .with("shares", text(shares))
          .write();
    } else if (!sends && beganAt.containsKey(service)) {
      long lastedMs = now - beganAt.remove(service);
      log.event("spill_ended").with("service", service).with("lasted_ms", lastedMs).write();
    }
  }

  private static String text(Map<DataCentreId, Double> shares) {
    return new TreeMap<>(shares)
        .entrySet().stream()
            .map(one -> one.getKey() + ":" + Math.round(one.getValue() * PERCENT) / PERCENT)
            .collect(Collectors.joining(" "));
  }
}
