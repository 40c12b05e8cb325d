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
 * Decides which requests wait, which goes next and which are refused at once, so that under too
 * much load the work that is done is worth doing.
 *
 * <pre>{@code
 * AdmissionQueue queue = new AdmissionQueue(AdmissionSettings.DEFAULT, now);
 * refuse(queue.offer(ticket, now));
 * AdmissionQueue.Turn turn = queue.poll(now);
 * }</pre>
 *
 * <p>A higher priority goes first, but for a small share kept for the lower ones. Within a priority
 * services, and within a service adapters, take turns by the work they stand for; within an adapter
 * the earliest deadline goes first. What cannot meet its deadline is refused on arrival or when its
 * turn comes, never run in vain. Driven under the lock of one shard; not safe for use by several
 * threads.
 */
public final class AdmissionQueue {

  /**
   * Is a request that will not be served.
   *
   * @param ticket its place
   * @param outcome what its caller is told
   */
  public record Refusal(AdmissionTicket ticket, Outcome.NotRun outcome) {}

  /**
   * Is the result of a turn.
   *
   * @param next the request to serve now, or empty
   * @param refused requests whose deadline cannot be met any more
   */
  public record Turn(Optional<AdmissionTicket> next, List<Refusal> refused) {}

  /**
   * An overload fills the queue up to the wait that is just allowed. If that were all of the spare
   * time, each wait that turns out longer than expected would end in a refusal at the last moment.
   */
  private static final double WAIT_MARGIN = 1.25;

  private static final class Level {
    private final Map<ServiceId, ServiceLine> lines = new TreeMap<>();
    private final FairShares<ServiceId> shares = new FairShares<>();
    private final DrainRate rate;
    private int size;

    private Level(DrainRate rate) {
      this.rate = rate;
    }
  }

  private final Map<Priority, Level> levels = new EnumMap<>(Priority.class);
  private final DrainRate rate;
  private final ServiceTime times = new ServiceTime();
  private AdmissionSettings settings;
  private int size;
  private long turns;
  private double nextComeBackAt;
  private AdmissionTicket newest;
  private long newestAt;

  /** Creates an empty queue. */
  public AdmissionQueue(AdmissionSettings settings, long nowMillis) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.rate = new DrainRate(settings.initialPerSecond(), nowMillis);
    for (Priority priority : Priority.values()) {
      levels.put(priority, new Level(new DrainRate(settings.initialPerSecond(), nowMillis)));
    }
  }

  /** Applies other limits from now on, as a change of preset does; nothing that waits is lost. */
  public void apply(AdmissionSettings newSettings) {
    settings = Objects.requireNonNull(newSettings, "settings");
  }

  /**
   * Takes a request in, or refuses it.
   *
   * @return the refused: none, the newcomer, or one that waited and had less claim to its place
   */
  public Optional<Refusal> offer(AdmissionTicket ticket, long nowMillis) {
    if (size == 0) {
      rate.idle(nowMillis);
    }
    Level level = levels.get(ticket.priority());
    if (level.size == 0) {
      level.rate.idle(nowMillis);
    }
    long wait = expectedWaitMillis(ticket, nowMillis);
    long spare = latestStart(ticket) - nowMillis;
    if (wait * WAIT_MARGIN > spare) {
      return Optional.of(
          refuse(ticket, ErrorKind.DEADLINE_UNREACHABLE, Math.max(0, wait - spare), nowMillis));
    }
    Optional<AdmissionTicket> out = makesWay(ticket);
    if (out.equals(Optional.of(ticket))) {
      return Optional.of(refuse(ticket, ErrorKind.QUEUE_FULL, wait, nowMillis));
    }
    out.ifPresent(this::withdraw);
    add(ticket, nowMillis);
    return out.map(other -> refuse(other, ErrorKind.OVERLOADED, wait, nowMillis));
  }

  /** Takes the request whose turn it is, for an endpoint that has room. */
  public Turn poll(long nowMillis) {
    List<Refusal> refused = new ArrayList<>();
    Optional<AdmissionTicket> head = head();
    while (head.isPresent() && isTooLate(head.get(), nowMillis)) {
      withdraw(head.get());
      refused.add(late(head.get(), nowMillis));
      head = head();
    }
    head.ifPresent(ticket -> serve(ticket, nowMillis));
    return new Turn(head, refused);
  }

  /**
   * Notes that a request was served whole; how long others will take is told from it.
   *
   * @param cost the cost of its ticket
   * @param tookMillis how long serving it took, without its wait here
   */
  public void finished(double cost, long tookMillis) {
    times.served(cost, tookMillis);
  }

  /**
   * Notes that a request was given up while it was served. How long it would have taken is unknown,
   * but longer than this: learning only from those that ended in time would never show that serving
   * has become slower, and all would be begun too late from then on.
   *
   * @param cost the cost of its ticket
   * @param ranMillis how long it had been served
   */
  public void abandoned(double cost, long ranMillis) {
    if (ranMillis > times.expectedMillis(cost)) {
      times.served(cost, ranMillis);
    }
  }

  /** Removes and returns what cannot meet its deadline any more; to be called now and then. */
  public List<Refusal> expire(long nowMillis) {
    List<Refusal> refused = new ArrayList<>();
    for (Level level : levels.values()) {
      for (ServiceLine line : List.copyOf(level.lines.values())) {
        for (AdmissionTicket ticket : line.matching(ticket -> isTooLate(ticket, nowMillis))) {
          withdraw(ticket);
          refused.add(late(ticket, nowMillis));
        }
      }
    }
    return refused;
  }

  /** Removes a request whose caller left; returns false if it does not wait here any more. */
  public boolean withdraw(AdmissionTicket ticket) {
    Level level = levels.get(ticket.priority());
    ServiceLine line = level.lines.get(ticket.service());
    if (line == null || !line.remove(ticket)) {
      return false;
    }
    size--;
    level.size--;
    if (line.size() == 0) {
      level.shares.deactivate(ticket.service());
      level.lines.remove(ticket.service());
    }
    return true;
  }

  /** Returns the number of requests that wait. */
  public int size() {
    return size;
  }

  /**
   * Returns how long a request would wait, from what is before it and from how fast that goes.
   *
   * <p>What outranks it and is yet to come shows only in the pace of its own priority: without that
   * a batch request under an overload would be taken in, wait, and be refused at its last moment.
   */
  public long expectedWaitMillis(AdmissionTicket ticket, long nowMillis) {
    Level level = levels.get(ticket.priority());
    int outranking = 0;
    for (Map.Entry<Priority, Level> other : levels.entrySet()) {
      outranking += other.getKey().outranks(ticket.priority()) ? other.getValue().size : 0;
    }
    ServiceLine own = level.lines.get(ticket.service());
    int services = level.shares.active() + (own == null ? 1 : 0);
    int ownSize = own == null ? 0 : own.size();
    // Services take turns: a short line is served before the rest of a long one.
    int before = Math.min(level.size, ownSize * services + services - 1);
    double pace = rate.perSecond(nowMillis);
    // The turns kept for it are the least that a priority gets, also after a time without any.
    double ownPace =
        Math.max(level.rate.perSecond(nowMillis), pace / settings.lowerPriorityEvery());
    double ofAll = (outranking + before) / pace;
    double ofLevel = before / ownPace;
    return (long) (1_000 * Math.max(ofAll, ofLevel));
  }

  private void add(AdmissionTicket ticket, long nowMillis) {
    Level level = levels.get(ticket.priority());
    newest = ticket;
    newestAt = nowMillis;
    if (level.lines.computeIfAbsent(ticket.service(), s -> new ServiceLine()).add(ticket)) {
      level.shares.activate(ticket.service());
      level.size++;
      size++;
    }
  }

  private void serve(AdmissionTicket ticket, long nowMillis) {
    Level level = levels.get(ticket.priority());
    level.lines.get(ticket.service()).charge(ticket);
    level.shares.charge(ticket.service(), ticket.cost());
    boolean waited = size > 1 || !ticket.equals(newest) || nowMillis > newestAt;
    withdraw(ticket);
    if (waited) {
      // What found room at once tells how fast work comes, not how fast it could go: counted, a
      // quiet hour would make the rate of the first minute of an overload too high by far.
      rate.served(nowMillis);
      level.rate.served(nowMillis);
    }
    turns++;
  }

  private Optional<AdmissionTicket> head() {
    List<Priority> order = new ArrayList<>(levels.keySet());
    if (turns % settings.lowerPriorityEvery() == settings.lowerPriorityEvery() - 1) {
      order.sort(Comparator.comparingInt(Priority::rank).reversed());
    }
    return order.stream()
        .map(levels::get)
        .filter(level -> level.size > 0)
        .findFirst()
        .flatMap(level -> level.shares.next().map(level.lines::get))
        .flatMap(ServiceLine::head);
  }

  /** Returns who has to go for the newcomer: nobody, one that waits, or the newcomer. */
  private Optional<AdmissionTicket> makesWay(AdmissionTicket ticket) {
    ServiceLine own = levels.get(ticket.priority()).lines.get(ticket.service());
    if (own != null && own.size() >= settings.maxQueuedPerService()) {
      return own.last()
          .filter(last -> own.flowSize(last.flow()) > own.flowSize(ticket.flow()) + 1)
          .or(() -> Optional.of(ticket));
    }
    if (size < settings.maxQueued()) {
      return Optional.empty();
    }
    int ownSize = own == null ? 0 : own.size();
    Priority lowest = lowestWaiting();
    ServiceLine longest = longest(levels.get(lowest));
    boolean outranked = ticket.priority().outranks(lowest);
    boolean overItsShare = lowest == ticket.priority() && longest.size() > ownSize + 1;
    return outranked || overItsShare ? longest.last() : Optional.of(ticket);
  }

  private Priority lowestWaiting() {
    return levels.entrySet().stream()
        .filter(entry -> entry.getValue().size > 0)
        .map(Map.Entry::getKey)
        .max(Comparator.comparingInt(Priority::rank))
        .orElseThrow();
  }

  private static ServiceLine longest(Level level) {
    return level.lines.values().stream()
        .max(Comparator.comparingInt(ServiceLine::size))
        .orElseThrow();
  }

  private boolean isTooLate(AdmissionTicket ticket, long nowMillis) {
    return nowMillis > latestStart(ticket);
  }

  private long latestStart(AdmissionTicket ticket) {
    long service = Math.max(settings.minServiceMillis(), times.expectedMillis(ticket.cost()));
    return ticket.deadlineMillis() - service;
  }

  private Refusal late(AdmissionTicket ticket, long nowMillis) {
    ErrorKind kind =
        nowMillis >= ticket.deadlineMillis()
            ? ErrorKind.DEADLINE_PASSED
            : ErrorKind.DEADLINE_UNREACHABLE;
    return refuse(ticket, kind, expectedWaitMillis(ticket, nowMillis), nowMillis);
  }

  private Refusal refuse(
      AdmissionTicket ticket, ErrorKind kind, long freeInMillis, long nowMillis) {
    // Each refused caller is given a moment of its own at the rate at which the queue drains: all
    // of them coming back at once would be refused once more.
    double gap = 1_000 / rate.perSecond(nowMillis);
    double latest = nowMillis + (double) settings.maxComeBackMillis();
    nextComeBackAt = Math.max(nextComeBackAt, nowMillis + (double) freeInMillis) + gap;
    nextComeBackAt = Math.min(nextComeBackAt, latest);
    long comeBack = (long) Math.ceil(nextComeBackAt - nowMillis);
    return new Refusal(
        ticket, Outcome.notRun(kind, NotRunProof.withdrawnFromQueue(), Math.max(1, comeBack)));
  }
}
