package io.sequoiapass.daemon.process;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.process.LeaseStatus;
import io.sequoiapass.coordination.process.MembershipChange;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.HostHints;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;
import io.sequoiapass.daemon.process.entry.EntryObserver;
import io.sequoiapass.daemon.process.log.EventLog;
import io.sequoiapass.daemon.process.log.LogEvent;
import io.sequoiapass.daemon.process.owner.OwnerObserver;
import io.sequoiapass.daemon.process.ownership.OwnershipListener;
import io.sequoiapass.daemon.process.timeline.CauseId;
import io.sequoiapass.daemon.process.timeline.Timeline;
import io.sequoiapass.daemon.process.timeline.TimelineEvent;
import io.sequoiapass.daemon.process.timeline.TimelineKind;
import io.sequoiapass.daemon.request.CallerRequest;
import io.sequoiapass.daemon.request.RouteTarget;
import io.sequoiapass.daemon.version.ConfigurationListener;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Records events as log lines, metrics and timeline entries; safe for use by several threads. */
final class DaemonEvents
    implements EntryObserver, OwnerObserver, ConfigurationListener, OwnershipListener {

  private static final long NEVER = Long.MIN_VALUE;

  /** A longer wait is due to a load or a queue: a free slot is granted within one engine step. */
  private static final long STALL_THRESHOLD_MS = 100;

  /** Refusals are logged at most once per interval: a line each would add load during overload. */
  private static final long REFUSALS_LOG_INTERVAL_MS = 5_000;

  /** Most objects named in one timeline event; enough for a usual burst of changes. */
  private static final int MAX_NAMED_OBJECTS = 32;

  private final DaemonId daemon;
  private final Consumer<DaemonId> resetLink;
  private final MetricRegistry metrics;
  private final Timeline timeline;
  private final MillisClock clock;
  private final Counter accepted;
  private final Histogram stalls;
  private final Map<OutcomeClass, Counter> outcomes = new EnumMap<>(OutcomeClass.class);
  private final AtomicLong refusals = new AtomicLong();
  private final AtomicLong refusalsLoggedAt = new AtomicLong(NEVER / 2);
  private final AtomicLong platformOutSince = new AtomicLong(NEVER);

  DaemonEvents(
      DaemonId daemon,
      MetricRegistry metrics,
      Timeline timeline,
      MillisClock clock,
      Consumer<DaemonId> resetLink) {
    this.daemon = daemon;
    this.resetLink = resetLink;
    this.metrics = metrics;
    this.timeline = timeline;
    this.clock = clock;
    this.accepted = metrics.counter("requests.accepted");
    this.stalls = metrics.histogram("requests.waited.ms");
    for (OutcomeClass outcome : OutcomeClass.values()) {
      outcomes.put(outcome, metrics.counter("requests." + outcome.name().toLowerCase(Locale.ROOT)));
    }
  }

  @Override
  public void accepted(CallerRequest request) {
    accepted.inc();
    timeline.record(event(TimelineKind.REQUEST_ACCEPTED, request).build());
  }

  @Override
  public void routed(CallerRequest request, int attempt, EndpointId endpoint) {
    TimelineKind kind = attempt == 1 ? TimelineKind.REQUEST_ROUTED : TimelineKind.REQUEST_RETRIED;
    timeline.record(
        event(kind, request).endpoint(endpoint).cause(causeOf(request.id(), attempt)).build());
  }

  @Override
  public void firstToken(CallerRequest request) {
    timeline.record(event(TimelineKind.REQUEST_FIRST_TOKEN, request).build());
  }

  @Override
  public void ended(CallerRequest request, Outcome outcome) {
    outcomes.get(outcome.outcomeClass()).inc();
    String why = outcome.error().map(ErrorKind::name).orElse("");
    TimelineKind kind =
        switch (outcome.outcomeClass()) {
          case ANSWERED -> TimelineKind.REQUEST_ANSWERED;
          case NOT_RUN -> TimelineKind.REQUEST_NOT_RUN;
          case UNKNOWN -> TimelineKind.REQUEST_UNKNOWN;
        };
    timeline.record(event(kind, request).detail(why).build());
    if (kind == TimelineKind.REQUEST_UNKNOWN
        && outcome.error().filter(ErrorKind.CALLER_LEFT::equals).isEmpty()) {
      EventLog.log(LogEvent.REQUEST_OUTCOME_UNKNOWN, request.id(), why);
    }
  }

  private static TimelineEvent.Builder event(TimelineKind kind, CallerRequest request) {
    TimelineEvent.Builder event = TimelineEvent.of(kind).request(request.id());
    return request.target() instanceof RouteTarget.Engine engine
        ? event.adapter(engine.adapter())
        : event;
  }

  @Override
  public void started(AttemptId id, AdapterVersion adapter, EndpointId endpoint, long waitedMs) {
    stalls.update(waitedMs);
    if (waitedMs >= STALL_THRESHOLD_MS) {
      timeline.record(
          ofAttempt(TimelineKind.REQUEST_STALLED, id)
              .adapter(adapter)
              .endpoint(endpoint)
              .detail(waitedMs + " ms")
              .build());
    }
    timeline.record(
        ofAttempt(TimelineKind.REQUEST_STARTED, id).adapter(adapter).endpoint(endpoint).build());
  }

  private static TimelineEvent.Builder ofAttempt(TimelineKind kind, AttemptId id) {
    return TimelineEvent.of(kind).request(id.request()).cause(causeOf(id.request(), id.attempt()));
  }

  /** Returns the id that correlates the events of entry and owner for one attempt. */
  private static CauseId causeOf(RequestId request, int attempt) {
    return new CauseId(request.value() + "/" + attempt);
  }

  @Override
  public void loadBegun(EndpointId endpoint, AdapterVersion adapter, boolean evicts) {
    if (evicts) {
      timeline.record(
          TimelineEvent.of(TimelineKind.EVICTED)
              .endpoint(endpoint)
              .detail("to load " + adapter)
              .build());
    }
    timeline.record(
        TimelineEvent.of(TimelineKind.LOAD_STARTED).endpoint(endpoint).adapter(adapter).build());
  }

  @Override
  public void loadEnded(EndpointId endpoint, AdapterVersion adapter, long tookMs, boolean loaded) {
    metrics.histogram("loads.ms").update(tookMs);
    metrics.counter(loaded ? "loads.done" : "loads.failed").inc();
    TimelineKind kind = loaded ? TimelineKind.LOAD_DONE : TimelineKind.LOAD_FAILED;
    timeline.record(
        TimelineEvent.of(kind).endpoint(endpoint).adapter(adapter).detail(tookMs + " ms").build());
    if (!loaded) {
      EventLog.log(LogEvent.LOAD_FAILED, adapter, endpoint, "after " + tookMs + " ms");
    }
  }

  @Override
  public void endpointJoined(EndpointId endpoint, boolean restarted) {
    if (restarted) {
      EventLog.log(LogEvent.ENGINE_RESTARTED, endpoint, "new");
      timeline.record(TimelineEvent.of(TimelineKind.ENGINE_RESTARTED).endpoint(endpoint).build());
    } else {
      timeline.record(
          TimelineEvent.of(TimelineKind.ENDPOINT_TAKEN_OVER).endpoint(endpoint).build());
    }
  }

  @Override
  public void overloaded(AttemptId id, ErrorKind kind, long waitedMs) {
    metrics.counter("admission.refused." + kind.name().toLowerCase(Locale.ROOT)).inc();
    metrics.histogram("admission.refused.after.ms").update(waitedMs);
    long now = clock.millis();
    long refused = refusals.incrementAndGet();
    long since = refusalsLoggedAt.get();
    if (now - since >= REFUSALS_LOG_INTERVAL_MS && refusalsLoggedAt.compareAndSet(since, now)) {
      refusals.addAndGet(-refused);
      EventLog.log(LogEvent.REFUSED_OVERLOAD, refused, REFUSALS_LOG_INTERVAL_MS);
    }
  }

  @Override
  public void endpointUnreachable(EndpointId endpoint) {
    timeline.record(
        TimelineEvent.of(TimelineKind.FAULT).endpoint(endpoint).detail("unreachable").build());
  }

  @Override
  public void applied(ConfigurationSnapshot snapshot, List<ConfigurationObject> newer) {
    EventLog.log(LogEvent.CONFIGURATION_APPLIED, snapshot.revision(), newer.size());
    timeline.record(
        TimelineEvent.of(TimelineKind.CONFIGURATION_APPLIED)
            .detail("revision " + snapshot.revision() + namesOf(newer))
            .build());
    platformAnswered();
  }

  /** Lists changed objects as {@code kind/name@version}, or only their number if there are many. */
  private static String namesOf(List<ConfigurationObject> newer) {
    if (newer.size() > MAX_NAMED_OBJECTS) {
      return ", objects: " + newer.size();
    }
    StringBuilder names = new StringBuilder();
    newer.forEach(
        object -> names.append(' ').append(object.key()).append('@').append(object.version()));
    return names.toString();
  }

  private void platformAnswered() {
    long since = platformOutSince.getAndSet(NEVER);
    if (since != NEVER) {
      EventLog.log(LogEvent.PLATFORM_BACK, clock.millis() - since);
      timeline.record(TimelineEvent.of(TimelineKind.PLATFORM_BACK).build());
    }
  }

  @Override
  public void presetInForce(Preset preset) {
    EventLog.log(LogEvent.PRESET_IN_FORCE, preset);
    timeline.record(TimelineEvent.of(TimelineKind.PRESET_IN_FORCE).detail(preset.name()).build());
  }

  @Override
  public void objectRefused(String problem) {
    metrics.counter("configuration.refused").inc();
    timeline.record(TimelineEvent.of(TimelineKind.FAULT).detail(problem).build());
  }

  @Override
  public void hostsChanged(HostHints hints) {
    EventLog.log(LogEvent.HOSTS_LEAVING, hints.reports().size(), hints.version(), hints.reader());
    timeline.record(TimelineEvent.of(TimelineKind.HOSTS_CHANGED).detail(hints.toString()).build());
  }

  @Override
  public void platformFailed(Throwable failure) {
    if (platformOutSince.compareAndSet(NEVER, clock.millis())) {
      EventLog.log(LogEvent.PLATFORM_UNREACHABLE, String.valueOf(failure.getMessage()));
      timeline.record(TimelineEvent.of(TimelineKind.PLATFORM_UNREACHABLE).build());
    }
  }

  @Override
  public void leaseStatusChanged(LeaseStatus standing) {
    switch (standing) {
      case VALID -> {
        EventLog.log(LogEvent.LEASE_ACQUIRED, daemon, "its newest");
        timeline.record(TimelineEvent.of(TimelineKind.LEASE_ACQUIRED).build());
      }
      case LAPSED, LAPSED_FOR_ALL, SUPERSEDED -> {
        EventLog.log(LogEvent.LEASE_LOST, daemon);
        timeline.record(TimelineEvent.of(TimelineKind.LEASE_LOST).detail(standing.name()).build());
      }
      default -> {
        // Before the first lease there is none to lose.
      }
    }
  }

  @Override
  public void tableChanged(DataCentreId dataCentre, OwnershipTable table) {
    EventLog.log(LogEvent.OWNERSHIP_CHANGED, dataCentre, table.epoch());
    timeline.record(
        TimelineEvent.of(TimelineKind.OWNERSHIP_CHANGED)
            .detail(dataCentre + " epoch " + table.epoch() + " fence " + table.version())
            .build());
  }

  @Override
  public void memberChanged(MembershipChange change) {
    metrics.counter("members.changes").inc();
    timeline.record(
        TimelineEvent.of(
                change.to().isReachable() ? TimelineKind.PEER_CONNECTED : TimelineKind.PEER_LOST)
            .detail(change.daemon() + " " + change.from() + " to " + change.to())
            .build());
  }

  @Override
  public void peerDead(DaemonId peer) {
    EventLog.log(LogEvent.PEER_LOST, peer, "silent");
    resetLink.accept(peer);
  }
}
