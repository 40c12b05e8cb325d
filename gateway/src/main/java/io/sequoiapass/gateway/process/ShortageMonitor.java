package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.Room;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.EngineSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Reports which services are short of room, from the reports of the daemons and the queue for
 * adapter slots.
 *
 * <p>Not safe for use by several threads.
 */
final class ShortageMonitor implements CoordinatorModule {

  /** Part of the target time that requests can spend waiting for room and be answered in time. */
  private static final double BEARABLE_SHARE = 0.5;

  /** Least time between two log lines about one shortage, in milliseconds. */
  private static final long LOG_INTERVAL_MS = 1_000;

  /** Largest number of requests in flight that a report can state. */
  private static final int MAX_IN_FLIGHT = 1_000_000;

  private static final double PERCENT = 100;

  private final DecisionLog log;
  private final EndpointDirectory directory;
  private final PlacementPlan plan;
  private final LoadQueue loadQueue;
  private final Map<ServiceId, FlowDemandTable> demand = new HashMap<>();
  private final Map<DaemonId, Map<ServiceId, Integer>> inFlight = new HashMap<>();
  private final Map<Key, ServiceShortage> decisions = new HashMap<>();
  private final Map<Key, Active> active = new LinkedHashMap<>();
  private long lastNumber;
  private boolean stated;
  private long ignoredReports;

  private record Key(ServiceId service, Room room) {}

  /** A shortage and what was logged of it. */
  private static final class Active {
    private final long number;
    private final long beganAt;
    private long loggedAt;
    private String logged = "";

    private Active(long number, long beganAt) {
      this.number = number;
      this.beganAt = beganAt;
    }
  }

  /**
   * Creates a monitor without reports.
   *
   * @param log the log
   * @param directory the endpoints
   * @param plan the plan
   * @param loadQueue the loads that wait for a slot
   */
  ShortageMonitor(
      DecisionLog log, EndpointDirectory directory, PlacementPlan plan, LoadQueue loadQueue) {
    this.log = log;
    this.directory = directory;
    this.plan = plan;
    this.loadQueue = loadQueue;
  }

  @Override
  public void activated(long now) {
    demand.clear();
    inFlight.clear();
    decisions.clear();
    active.clear();
    stated = false;
  }

  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    if (message instanceof RoomMessage.DemandReport report && from.daemon != null) {
      for (RoomMessage.FlowDemand one : report.flows()) {
        boolean isKnown = directory.find(one.service()).isPresent();
        if (!isKnown || !table(one.service()).add(one, now)) {
          ignoredReports++;
        }
      }
      Map<ServiceId, Integer> running = new HashMap<>();
      for (RoomMessage.InFlight one : report.inFlight()) {
        if (one.requests() >= 0
            && one.requests() <= MAX_IN_FLIGHT
            && directory.find(one.service()).isPresent()) {
          running.put(one.service(), one.requests());
        } else {
          ignoredReports++;
        }
      }
      inFlight.put(from.daemon, running);
    }
  }

  private FlowDemandTable table(ServiceId service) {
    return demand.computeIfAbsent(service, any -> new FlowDemandTable());
  }

  @Override
  public void unlinked(LinkedDaemon linked, long now) {
    inFlight.remove(linked.daemon);
  }

  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    Set<DataCentreId> dataCentres = new HashSet<>();
    links.values().stream()
        .filter(linked -> linked.daemon != null)
        .forEach(linked -> dataCentres.add(linked.dataCentre));
    Optional<RoomMessage.Shortages> due = statement(dataCentres, now);
    if (due.isPresent()) {
      byte[] frame = LinkFrames.encode(due.get());
      links.forEach(
          (channel, linked) -> {
            if (linked.daemon != null) {
              channel.queue(frame);
            }
          });
    }
  }

  /**
   * Returns the statement that is due; the last one of a shortage is empty.
   *
   * @param linked the data centres of the linked daemons
   * @param now the time, in milliseconds
   */
  Optional<RoomMessage.Shortages> statement(Set<DataCentreId> linked, long now) {
    Map<EndpointId, Load> loads = plan.loads();
    List<RoomMessage.Shortage> shortages = new ArrayList<>();
    for (ServiceId service : List.copyOf(demand.keySet())) {
      FlowDemandTable table = demand.get(service);
      table.prune(now);
      Map<Room, Double> waits = waits(service, table, linked, loads, now);
      OptionalLong targetMs = directory.targetMs(service);
      for (Room room : Room.values()) {
        double pressure =
            targetMs.isEmpty()
                ? 0
                : waits.getOrDefault(room, 0.0) / (targetMs.getAsLong() * BEARABLE_SHARE);
        update(new Key(service, room), pressure, table.rates(room, now), now)
            .ifPresent(shortages::add);
      }
      if (table.isEmpty() && active.keySet().stream().noneMatch(k -> k.service().equals(service))) {
        demand.remove(service);
        decisions.keySet().removeIf(key -> key.service().equals(service));
      }
    }
    boolean wasStated = stated;
    stated = !shortages.isEmpty();
    return stated || wasStated
        ? Optional.of(new RoomMessage.Shortages(shortages))
        : Optional.empty();
  }

  /** Returns the expected waits for each kind of room of a service, in milliseconds. */
  private Map<Room, Double> waits(
      ServiceId service,
      FlowDemandTable table,
      Set<DataCentreId> linked,
      Map<EndpointId, Load> loads,
      long now) {
    Optional<EndpointGroup> group = directory.find(service);
    if (group.isEmpty()) {
      return Map.of();
    }
    Optional<EngineSpec> engine = group.get().engine();
    if (engine.isEmpty()) {
      double servedPerS = table.rates(Room.CALL_SLOTS, now).served();
      return Map.of(Room.CALL_SLOTS, callWaitMs(service, group.get(), linked, servedPerS, now));
    }
    double slotWaitMs =
        loadQueue.lastWaitMs(adapter -> engine.get().model(adapter.model()).isPresent(), now);
    return Map.of(
        Room.ADAPTER_SLOTS, slotWaitMs, Room.ENGINE_TIME, readingWaitMs(group.get(), loads, now));
  }

  /** Requests beyond the slots of all endpoints wait, wherever they are held. */
  private double callWaitMs(
      ServiceId service,
      EndpointGroup group,
      Set<DataCentreId> linked,
      double servedPerS,
      long now) {
    long running = 0;
    for (Map<ServiceId, Integer> daemon : inFlight.values()) {
      running += daemon.getOrDefault(service, 0);
    }
    long slots =
        group.entries(now).stream()
            .filter(entry -> linked.contains(entry.dataCentre()))
            .mapToLong(EndpointEntry::slots)
            .sum();
    long waiting = Math.max(0, running - slots);
    return waiting == 0 || slots == 0 ? 0 : waiting * 1_000.0 / Math.max(1, servedPerS);
  }

  /** Returns how long the engines of this data centre take to read all prompts sent there. */
  private double readingWaitMs(EndpointGroup group, Map<EndpointId, Load> loads, long now) {
    Set<EndpointId> planned = Set.copyOf(plan.endpoints());
    long unread = 0;
    double tokensPerMs = 0;
    for (EndpointEntry entry : group.entries(now)) {
      if (planned.contains(entry.endpoint())) {
        unread += loads.getOrDefault(entry.endpoint(), Load.NONE).prefillTokens();
        tokensPerMs += group.readingTokensPerMs(entry.endpoint(), now);
      }
    }
    return tokensPerMs > 0 ? unread / tokensPerMs : 0;
  }

  private Optional<RoomMessage.Shortage> update(
      Key key, double pressure, FlowDemandTable.Rates rates, long now) {
    ServiceShortage decision = decisions.computeIfAbsent(key, any -> new ServiceShortage());
    Optional<ServiceShortage.Admission> admission = decision.update(pressure, rates, now);
    if (admission.isEmpty()) {
      Active ended = active.remove(key);
      if (ended != null) {
        line("shortage_ended", key, ended).with("lasted_ms", now - ended.beganAt).write();
      }
      return Optional.empty();
    }
    boolean begins = !active.containsKey(key);
    Active shortage = active.computeIfAbsent(key, any -> new Active(++lastNumber, now));
    logShares(key, shortage, begins, pressure, rates, admission.get(), now);
    return Optional.of(
        new RoomMessage.Shortage(
            key.service(),
            key.room(),
            shortage.number,
            admission.get().retryAfterMs(),
            admission.get().shares()));
  }

  private void logShares(
      Key key,
      Active shortage,
      boolean begins,
      double pressure,
      FlowDemandTable.Rates rates,
      ServiceShortage.Admission admission,
      long now) {
    String shares = text(admission.shares());
    if (!begins && (now - shortage.loggedAt < LOG_INTERVAL_MS || shares.equals(shortage.logged))) {
      return;
    }
    shortage.loggedAt = now;
    shortage.logged = shares;
    line(begins ? "shortage_began" : "shortage_changed", key, shortage)
        .with("pressure", Math.round(pressure * PERCENT) / PERCENT)
        .with("asked_per_s", Math.round(rates.total()))
        .with("served_per_s", Math.round(rates.served()))
        .with("admitted_per_s", Math.round(admission.admittedPerS()))
        .with("shares", shares)
        .with("retry_after_ms", admission.retryAfterMs())
        .with("ignored_reports", ignoredReports)
        .write();
  }

  private DecisionLog.Line line(String event, Key key, Active shortage) {
    return log.event(event)
        .with("shortage", shortage.number)
        .with("service", key.service())
        .with("room", key.room());
  }

  private static String text(List<RoomMessage.FlowShare> shares) {
    return shares.stream()
        .map(
            one ->
                one.flow().priority()
                    + one.flow().workspace().map(workspace -> "/" + workspace).orElse("")
                    + ":"
                    + Math.round(one.share() * PERCENT) / PERCENT)
        .sorted()
        .collect(Collectors.joining(" "));
  }
}
