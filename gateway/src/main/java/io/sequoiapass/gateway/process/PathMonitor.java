package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.connection.EndpointPath;
import io.sequoiapass.daemon.connection.HttpTransport;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/**
 * Drives an {@link EndpointPath} with real probes, and logs when the path to the endpoints is lost
 * and restored. Safe for use by several threads.
 */
public final class PathMonitor {

  /** How long received bytes show that some connections live on, in milliseconds. */
  private static final long RECENT_MS = 1_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final EndpointPath path = new EndpointPath();
  private final EndpointDirectory directory;
  private final PathProbes probes;
  private final LoopLateness lateness;
  private final MillisClock clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final Random random;
  private final List<Runnable> onChange = new CopyOnWriteArrayList<>();
  private volatile boolean lost;
  private volatile long receivedAt = NEVER;
  private volatile LongSupplier unsentBytes = () -> 0;
  private long lostAt;

  /**
   * Creates a monitor of a path that is available.
   *
   * @param directory the endpoints
   * @param protocol how they are asked for a report
   * @param http opens connections to them
   * @param loops the event loops of the connections
   * @param clock the monotonic clock
   * @param log the log
   * @param metrics the counters
   */
  PathMonitor(
      EndpointDirectory directory,
      EndpointProtocol protocol,
      HttpTransport http,
      Iterable<? extends ScheduledExecutorService> loops,
      MillisClock clock,
      DecisionLog log,
      GatewayMetrics metrics) {
    this(directory, protocol, http, loops, clock, log, metrics, new Random());
  }

  PathMonitor(
      EndpointDirectory directory,
      EndpointProtocol protocol,
      HttpTransport http,
      Iterable<? extends ScheduledExecutorService> loops,
      MillisClock clock,
      DecisionLog log,
      GatewayMetrics metrics,
      Random random) {
    this.random = random;
    this.directory = directory;
    this.probes = new PathProbes(protocol, http, clock);
    this.lateness = new LoopLateness(loops, clock);
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Adds an action for each loss and each return of the path; it must not block. */
  void onChange(Runnable action) {
    onChange.add(action);
  }

  /** Sets what returns the bytes that wait on this daemon's links, which are logged. */
  void useUnsentBytes(LongSupplier source) {
    unsentBytes = source;
  }

  /** Returns whether this daemon has no path to the endpoints. */
  public boolean isLost() {
    return lost;
  }

  /** Returns whether endpoints have sent something lately, over connections that live on. */
  public boolean isReceiving() {
    return clock.millis() - receivedAt < RECENT_MS;
  }

  /** Returns for how long the path has been lost, in milliseconds; 0 if it is not. */
  synchronized long lostMs() {
    return lost ? clock.millis() - lostAt : 0;
  }

  /** Records that a request is sent to an endpoint. */
  public synchronized void sent() {
    path.sent(clock.millis());
  }

  /** Records that something was received from an endpoint. */
  public synchronized void received() {
    receivedAt = clock.millis();
    path.received();
  }

  /** Records that something was received from an endpoint on an open connection. */
  public synchronized void received(EndpointId endpoint) {
    receivedAt = clock.millis();
    path.received(endpoint, receivedAt);
  }

  /**
   * Records that a connection to an endpoint could not be opened, or ended before any byte of an
   * answer; what refuses connections may accept them first.
   */
  public void connectionFailed() {
    synchronized (this) {
      path.connectionFailed();
    }
    check();
  }

  /** Sends the probes that are due; called several times a second. */
  void check() {
    for (EndpointEntry endpoint : dueForProbe()) {
      probes.send(endpoint, reports(endpoint)).thenAccept(this::probed);
    }
  }

  private synchronized List<EndpointEntry> dueForProbe() {
    long now = clock.millis();
    int due = path.probesDue(now);
    if (due == 0) {
      return List.of();
    }
    List<EndpointEntry> sample = sample(due);
    path.roundStarted(sample.size(), now);
    if (!sample.isEmpty()) {
      lateness.start();
    }
    return sample;
  }

  /** Returns endpoints in different data centres, as far as there are so many. */
  private List<EndpointEntry> sample(int size) {
    List<EndpointEntry> all = probeable();
    Collections.shuffle(all, random);
    Set<DataCentreId> used = new HashSet<>();
    List<EndpointEntry> sample = new ArrayList<>();
    List<EndpointEntry> rest = new ArrayList<>();
    for (EndpointEntry entry : all) {
      boolean first = sample.size() < size && used.add(entry.dataCentre());
      (first ? sample : rest).add(entry);
    }
    rest.stream().limit(size - (long) sample.size()).forEach(sample::add);
    return sample;
  }

  /** Engines report their state without work; where there are none, a connection has to do. */
  private List<EndpointEntry> probeable() {
    long now = clock.millis();
    List<EndpointEntry> engines = new ArrayList<>();
    List<EndpointEntry> others = new ArrayList<>();
    for (EndpointGroup group : directory.groups()) {
      (group.engine().isPresent() ? engines : others).addAll(group.entries(now));
    }
    return engines.isEmpty() ? others : engines;
  }

  private boolean reports(EndpointEntry endpoint) {
    return directory
        .groupOf(endpoint.endpoint())
        .filter(group -> group.engine().isPresent())
        .isPresent();
  }

  private void probed(PathProbes.Result result) {
    long lateMs = lateness.lateMs();
    EndpointPath.Change change;
    long silentMs;
    synchronized (this) {
      silentMs = path.silentMs(clock.millis());
      change = record(result.outcome(), lateMs);
      lost = path.isLost();
      lostAt = change == EndpointPath.Change.LOST ? clock.millis() : lostAt;
      if (!path.isProbing()) {
        lateness.stop();
      }
    }
    log(result, lateMs);
    switch (change) {
      case LOST -> lost(silentMs, lateMs);
      case RESTORED -> restored();
      default -> {}
    }
    check();
  }

  private EndpointPath.Change record(PathProbes.Outcome outcome, long lateMs) {
    if (outcome.isHeard(lateMs)) {
      return path.probed(outcome.probe(), clock.millis());
    }
    path.unheard(clock.millis());
    return EndpointPath.Change.NONE;
  }

  private void log(PathProbes.Result result, long lateMs) {
    String outcome = result.outcome().name().toLowerCase(Locale.ROOT);
    metrics.count("sequoiapass_path_probes_total{result=\"" + outcome + "\"}");
    log.event("path_probe")
        .with("endpoint", result.endpoint())
        .with("result", outcome)
        .with("took_ms", result.tookMs())
        .with("late_ms", lateMs)
        .with("received_ms", sinceReceivedMs())
        .with("unsent_bytes", unsentBytes.getAsLong())
        .write();
  }

  /** Returns the time since the last byte from any endpoint, in milliseconds; -1 if none came. */
  private long sinceReceivedMs() {
    long at = receivedAt;
    return at == NEVER ? -1 : clock.millis() - at;
  }

  private void lost(long silentMs, long lateMs) {
    metrics.count("sequoiapass_endpoint_path_losses_total");
    log.event("endpoint_path_lost")
        .with("silent_ms", silentMs)
        .with("late_ms", lateMs)
        .with("received_ms", sinceReceivedMs())
        .with("unsent_bytes", unsentBytes.getAsLong())
        .write();
    onChange.forEach(Runnable::run);
  }

  private void restored() {
    long lostMs;
    synchronized (this) {
      lostMs = clock.millis() - lostAt;
    }
    log.event("endpoint_path_restored").with("lost_ms", lostMs).write();
    onChange.forEach(Runnable::run);
  }
}
