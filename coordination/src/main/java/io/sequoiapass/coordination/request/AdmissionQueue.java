package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.ServiceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Admission queue with load shedding: orders waiting requests, selects the next one to serve, and
 * refuses those that cannot be served in time.
 *
 * <pre>{@code
 * AdmissionQueue queue = new AdmissionQueue(AdmissionSettings.DEFAULT, now);
 * refuse(queue.offer(ticket, now));
 * AdmissionQueue.PollResult result = queue.poll(now);
 * }</pre>
 *
 * <p>Higher priorities are served first, except for a small share reserved for lower ones. Within a
 * priority, services share capacity fairly by cost, and so do adapters within a service; within an
 * adapter the earliest deadline is served first. A request that cannot meet its deadline is refused
 * on arrival or when it is selected, so that no capacity is spent on it. Guarded by the lock of one
 * shard; not safe for use by several threads.
 */
public final class AdmissionQueue {

  /**
   * A request that will not be served.
   *
   * @param ticket its ticket
   * @param outcome the outcome sent to the caller
   */
  public record Refusal(AdmissionTicket ticket, Outcome.NotRun outcome) {}

  /**
   * Result of a poll.
   *
   * @param next the request to serve, or empty
   * @param refused requests that can no longer meet their deadline
   */
  public record PollResult(Optional<AdmissionTicket> next, List<Refusal> refused) {}

  /**
   * An overload fills the queue up to the longest admitted wait. Admitting a wait equal to all of
   * the spare time would refuse each request whose wait exceeds the estimate just before its
   * deadline.
   */
  private static final double WAIT_MARGIN = 1.25;

  private static final class PriorityLevel {
    private final Map<ServiceId, ServiceQueue> queues = new TreeMap<>();
    private final FairScheduler<ServiceId> shares = new FairScheduler<>();
    private final DrainRate rate;
    private int size;

    private PriorityLevel(DrainRate rate) {
      this.rate = rate;
    }
  }

  private final Map<Priority, PriorityLevel> levels = new EnumMap<>(Priority.class);
  private final DrainRate rate;
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
  private AdmissionSettings settings;
  private int size;
  private long servedCount;
  private double nextComeBackAt;
  private AdmissionTicket newestTicket;
  private long newestAt;

  /** Creates an empty queue. */
  public AdmissionQueue(AdmissionSettings settings, long nowMillis) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.rate = new DrainRate(settings.initialPerSecond(), nowMillis);
    for (Priority priority : Priority.values()) {
      levels.put(
          priority, new PriorityLevel(new DrainRate(settings.initialPerSecond(), nowMillis)));
    }
  }

  /** Replaces the limits, for example on a change of preset; waiting requests stay queued. */
  public void apply(AdmissionSettings newSettings) {
    settings = Objects.requireNonNull(newSettings, "settings");
  }

  /**
   * Admits or refuses a request.
   *
   * @return the refusal, if any: of the new request or of a waiting one that it displaces
   */
  public Optional<Refusal> offer(AdmissionTicket ticket, long nowMillis) {
    if (size == 0) {
      rate.idle(nowMillis);
    }
    PriorityLevel level = levels.get(ticket.priority());
    if (level.size == 0) {
      level.rate.idle(nowMillis);
    }
    long wait = expectedWaitMillis(ticket, nowMillis);
    long spare = latestStart(ticket) - nowMillis;
    if (wait * WAIT_MARGIN > spare) {
      return Optional.of(
          refuse(ticket, ErrorKind.DEADLINE_UNREACHABLE, Math.max(0, wait - spare), nowMillis));
    }
    Optional<AdmissionTicket> shed = selectShed(ticket);
    if (shed.equals(Optional.of(ticket))) {
      return Optional.of(refuse(ticket, ErrorKind.QUEUE_FULL, wait, nowMillis));
    }
    shed.ifPresent(this::withdraw);
    add(ticket, nowMillis);
    return shed.map(other -> refuse(other, ErrorKind.OVERLOADED, wait, nowMillis));
  }

  /** Removes and returns the next request to serve, for an endpoint with free capacity. */
  public PollResult poll(long nowMillis) {
    List<Refusal> refused = new ArrayList<>();
    Optional<AdmissionTicket> head = head();
    while (head.isPresent() && isTooLate(head.get(), nowMillis)) {
      withdraw(head.get());
      refused.add(refuseLate(head.get(), nowMillis));
      head = head();
    }
    head.ifPresent(ticket -> serve(ticket, nowMillis));
    return new PollResult(head, refused);
  }

  /**
   * Records a request that was served completely, for the estimate of service times.
   *
   * @param cost the cost of its ticket
   * @param tookMillis service time in milliseconds, without the wait in this queue
   */
  public void finished(double cost, long tookMillis) {
    serviceTimes.served(cost, tookMillis);
  }

  /**
   * Records a request that was abandoned while it was served. Its full service time is unknown but
   * longer than this. An estimate from requests that ended in time alone would never show that
   * serving has slowed down, and every later request would be started too late.
   *
   * @param cost the cost of its ticket
   * @param ranMillis how long it had been served, in milliseconds
   */
  public void abandoned(double cost, long ranMillis) {
    if (ranMillis > serviceTimes.expectedMillis(cost)) {
      serviceTimes.served(cost, ranMillis);
    }
  }

  /** Removes and returns requests that can no longer meet their deadline; called periodically. */
  public List<Refusal> expire(long nowMillis) {
    List<Refusal> refused = new ArrayList<>();
    for (PriorityLevel level : levels.values()) {
      for (ServiceQueue queue : List.copyOf(level.queues.values())) {
        for (AdmissionTicket ticket : queue.matching(ticket -> isTooLate(ticket, nowMillis))) {
          withdraw(ticket);
          refused.add(refuseLate(ticket, nowMillis));
        }
      }
    }
    return refused;
  }

  /** Removes a request whose caller left; returns false if it is not queued. */
  public boolean withdraw(AdmissionTicket ticket) {
    PriorityLevel level = levels.get(ticket.priority());
    ServiceQueue queue = level.queues.get(ticket.service());
    if (queue == null || !queue.remove(ticket)) {
      return false;
    }
    size--;
    level.size--;
    if (queue.size() == 0) {
      level.shares.deactivate(ticket.service());
      level.queues.remove(ticket.service());
    }
    return true;
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return size;
  }

  /**
   * Returns the estimated wait of a request in milliseconds, from the requests ahead of it and the
   * drain rate.
   *
   * <p>Higher-priority requests that have not arrived yet are reflected only in the drain rate of
   * the request's own priority. Without that rate a batch request would be admitted under an
   * overload, wait, and be refused just before its deadline.
   */
  public long expectedWaitMillis(AdmissionTicket ticket, long nowMillis) {
    PriorityLevel level = levels.get(ticket.priority());
    int outranking = 0;
    for (Map.Entry<Priority, PriorityLevel> other : levels.entrySet()) {
      outranking += other.getKey().outranks(ticket.priority()) ? other.getValue().size : 0;
    }
    ServiceQueue ownQueue = level.queues.get(ticket.service());
    int services = level.shares.active() + (ownQueue == null ? 1 : 0);
    int ownSize = ownQueue == null ? 0 : ownQueue.size();
    // Services are served in turn: a short queue drains before the rest of a long one.
    int ahead = Math.min(level.size, ownSize * services + services - 1);
    double drainRate = rate.perSecond(nowMillis);
    // The reserved share is the minimum rate of a priority, also after a period in which it was not
    // served.
    double ownRate =
        Math.max(level.rate.perSecond(nowMillis), drainRate / settings.lowerPriorityEvery());
    double waitBehindAll = (outranking + ahead) / drainRate;
    double waitBehindLevel = ahead / ownRate;
    return (long) (1_000 * Math.max(waitBehindAll, waitBehindLevel));
  }

  private void add(AdmissionTicket ticket, long nowMillis) {
    PriorityLevel level = levels.get(ticket.priority());
    newestTicket = ticket;
    newestAt = nowMillis;
    if (level.queues.computeIfAbsent(ticket.service(), s -> new ServiceQueue()).add(ticket)) {
      level.shares.activate(ticket.service());
      level.size++;
      size++;
    }
  }

  private void serve(AdmissionTicket ticket, long nowMillis) {
    PriorityLevel level = levels.get(ticket.priority());
    level.queues.get(ticket.service()).charge(ticket);
    level.shares.charge(ticket.service(), ticket.cost());
    boolean waited = size > 1 || !ticket.equals(newestTicket) || nowMillis > newestAt;
    withdraw(ticket);
    if (waited) {
      // A request served without waiting reflects the arrival rate, not the capacity. Counting it
      // after an idle period would make the rate far too high in the first minute of an overload.
      rate.served(nowMillis);
      level.rate.served(nowMillis);
    }
    servedCount++;
  }

  private Optional<AdmissionTicket> head() {
    List<Priority> order = new ArrayList<>(levels.keySet());
    if (servedCount % settings.lowerPriorityEvery() == settings.lowerPriorityEvery() - 1) {
      order.sort(Comparator.comparingInt(Priority::rank).reversed());
    }
    return order.stream()
        .map(levels::get)
        .filter(level -> level.size > 0)
        .findFirst()
        .flatMap(level -> level.shares.next().map(level.queues::get))
        .flatMap(ServiceQueue::head);
  }

  /** Returns the request to shed for the new one: none, a waiting one, or the new one. */
  private Optional<AdmissionTicket> selectShed(AdmissionTicket ticket) {
    ServiceQueue ownQueue = levels.get(ticket.priority()).queues.get(ticket.service());
    if (ownQueue != null && ownQueue.size() >= settings.maxQueuedPerService()) {
      return ownQueue
          .shedCandidate()
          .filter(last -> ownQueue.flowSize(last.flow()) > ownQueue.flowSize(ticket.flow()) + 1)
          .or(() -> Optional.of(ticket));
    }
    if (size < settings.maxQueued()) {
      return Optional.empty();
    }
    int ownSize = ownQueue == null ? 0 : ownQueue.size();
    Priority lowest = lowestWaiting();
    ServiceQueue longest = longestQueue(levels.get(lowest));
    boolean outranked = ticket.priority().outranks(lowest);
    boolean exceedsShare = lowest == ticket.priority() && longest.size() > ownSize + 1;
    return outranked || exceedsShare ? longest.shedCandidate() : Optional.of(ticket);
  }

  private Priority lowestWaiting() {
    return levels.entrySet().stream()
        .filter(entry -> entry.getValue().size > 0)
        .map(Map.Entry::getKey)
        .max(Comparator.comparingInt(Priority::rank))
        .orElseThrow();
  }

  private static ServiceQueue longestQueue(PriorityLevel level) {
    return level.queues.values().stream()
        .max(Comparator.comparingInt(ServiceQueue::size))
        .orElseThrow();
  }

  private boolean isTooLate(AdmissionTicket ticket, long nowMillis) {
    return nowMillis > latestStart(ticket);
  }

  private long latestStart(AdmissionTicket ticket) {
    long service =
        Math.max(settings.minServiceMillis(), serviceTimes.expectedMillis(ticket.cost()));
    return ticket.deadlineMillis() - service;
  }

  private Refusal refuseLate(AdmissionTicket ticket, long nowMillis) {
    ErrorKind kind =
        nowMillis >= ticket.deadlineMillis()
            ? ErrorKind.DEADLINE_PASSED
            : ErrorKind.DEADLINE_UNREACHABLE;
    return refuse(ticket, kind, expectedWaitMillis(ticket, nowMillis), nowMillis);
  }

  private Refusal refuse(
      AdmissionTicket ticket, ErrorKind kind, long freeInMillis, long nowMillis) {
    // Retry times are spaced at the drain rate: if all refused callers retried together, they would
    // be refused again.
    double gap = 1_000 / rate.perSecond(nowMillis);
    double latest = nowMillis + (double) settings.maxComeBackMillis();
    nextComeBackAt = Math.max(nextComeBackAt, nowMillis + (double) freeInMillis) + gap;
    nextComeBackAt = Math.min(nextComeBackAt, latest);
    long comeBackMillis = (long) Math.ceil(nextComeBackAt - nowMillis);
    return new Refusal(
        ticket,
        Outcome.notRun(kind, NotRunProof.withdrawnFromQueue(), Math.max(1, comeBackMillis)));
  }
}
