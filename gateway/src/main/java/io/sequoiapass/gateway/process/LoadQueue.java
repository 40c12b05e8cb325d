package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Queues load requests while every adapter slot is in use.
 *
 * <pre>{@code
 * LoadReply reply = queue.loadOrEnqueue(entry, source, now);
 * queue.dispatch(now);   // whenever a slot may have become free
 * }</pre>
 *
 * <p>Entries that can still be served in time come first, by priority, share and remaining time
 * (see {@link SlotOrder}): in order of arrival, a queue longer than the wanted time would serve
 * every entry late. Late entries get the remaining slots. An entry whose expected wait exceeds its
 * deadline is rejected immediately, since a caller gains nothing from waiting first. Without the
 * queue, rejected requests would be retried every 400 ms, and a freed slot would stay unused until
 * then or go to whichever request came next. This matters under heavy load, when three quarters of
 * the slots hold adapters in use, or all of them while a quarter of the engines is down. Not safe
 * for use by several threads.
 */
final class LoadQueue {

  private final PlacementPlan plan;
  private final Predicate<AdapterName> isHeldOutside;
  private final SlotTurnoverEstimator turnover = new SlotTurnoverEstimator();
  private final SlotTurnoverEstimator lateTurnover = new SlotTurnoverEstimator();
  private final QueuedLoads entries = new QueuedLoads();
  private SlotOrder order = new SlotOrder();
  private ReturningRequests returning = new ReturningRequests();
  private LoadOutcome.Listener outcomes = (outcome, priority) -> {};
  private boolean hadLateEntries;

  /**
   * The requests that wait for one adapter.
   *
   * @param need what the load has to provide
   * @param inTimeUntil latest start of a load that serves the first of them in time, in
   *     milliseconds
   * @param until when the last of them times out, in milliseconds
   * @param place its place among equals
   */
  record Entry(LoadNeed need, long inTimeUntil, long until, Place place) {

    /** Returns the adapter. */
    AdapterName adapter() {
      return need.adapter();
    }

    /** Returns the most urgent priority of the requests. */
    int priority() {
      return need.flow().priority();
    }

    /** Returns whether a load that begins now is too late to serve it in time. */
    boolean isLate(long now) {
      return inTimeUntil < now;
    }

    /** Returns an entry that serves the requests of both. */
    Entry merge(Entry other) {
      return new Entry(
          need.merge(other.need),
          Math.min(inTimeUntil, other.inTimeUntil),
          Math.max(until, other.until),
          other.place.time() < place.time() ? other.place : place);
    }
  }

  /**
   * The place of an entry among those of its priority and workspace.
   *
   * @param time the time by which it is ordered while in time, in milliseconds; earlier than {@link
   *     Entry#inTimeUntil} for a request that returns after a rejection
   * @param returnKey the key of its retries; 0 if unknown
   * @param arrivedAt when it arrived first, in milliseconds
   */
  record Place(long time, long returnKey, long arrivedAt) {}

  /**
   * An adapter that cannot get a slot in time.
   *
   * @param adapter the adapter
   * @param retryAfterMs when a slot is expected, in milliseconds
   */
  record Expired(AdapterName adapter, long retryAfterMs) {}

  /**
   * Creates an empty queue.
   *
   * @param plan the plan
   * @param isHeldOutside whether another data centre holds or loads an adapter
   */
  LoadQueue(PlacementPlan plan, Predicate<AdapterName> isHeldOutside) {
    this.plan = plan;
    this.isHeldOutside = isHeldOutside;
  }

  /** Sets what receives the outcomes of loads. */
  void setListener(LoadOutcome.Listener listener) {
    outcomes = listener;
  }

  /** Removes all loads and what is known of earlier ones. */
  void clear() {
    entries.clear();
    order = new SlotOrder();
    returning = new ReturningRequests();
    hadLateEntries = false;
  }

  /**
   * Plans a load immediately, unless other loads precede it.
   *
   * @param entry the load; its {@code until} is the caller's deadline
   * @param another whether a further copy is requested although one exists
   * @param now the time, in milliseconds
   * @return the reply; a rejection states the expected wait in the queue
   */
  LoadReply load(Entry entry, boolean another, long now) {
    LoadReply reply = request(entry, another, now);
    if (!(reply instanceof LoadReply.Rejected)) {
      return reply;
    }
    long expectedMs = queueWaitMs(entry, now);
    if (now + expectedMs > entry.until() && !entries.contains(entry.adapter())) {
      rejected(entry, now);
    }
    return new LoadReply.Rejected(expectedMs);
  }

  /**
   * Plans a load immediately, or queues it.
   *
   * @param entry the load and how long it may wait
   * @param source who waits for it
   * @param now the time, in milliseconds
   */
  LoadReply loadOrEnqueue(Entry entry, QueuedLoads.Source source, long now) {
    LoadReply reply = request(entry, false, now);
    if (!(reply instanceof LoadReply.Rejected)) {
      return reply;
    }
    // An entry that is merged with a queued one needs no further slot.
    if (!entries.contains(entry.adapter())) {
      long expectedMs = queueWaitMs(entry, now);
      if (now + expectedMs > entry.until()) {
        rejected(entry, now);
        return new LoadReply.Rejected(expectedMs);
      }
      if (entries.isEmpty()) {
        turnover.queueStarted(now);
      }
    }
    if (entry.place().arrivedAt() < now) {
      outcomes.ended(LoadOutcome.RETURNED, entry.priority());
    }
    entries.add(entry, source);
    return new LoadReply.Queued();
  }

  /**
   * Removes a daemon from those that wait for a load, and the load once there is none: its slot
   * would stay unused.
   *
   * @param adapter the adapter
   * @param daemon the daemon
   * @param lastRequest the number of the last load request that does not wait any more
   */
  void withdraw(AdapterName adapter, LinkedDaemon daemon, long lastRequest) {
    entries.withdraw(adapter, daemon, lastRequest).ifPresent(this::withdrawn);
  }

  /** Removes a daemon whose link is lost from those that wait for loads. */
  void unlinked(LinkedDaemon daemon) {
    entries.withdrawAll(daemon).forEach(this::withdrawn);
  }

  private void withdrawn(Entry entry) {
    outcomes.ended(LoadOutcome.WITHDRAWN, entry.priority());
  }

  private LoadReply request(Entry entry, boolean another, long now) {
    assignPreceding(entry, now);
    boolean isNew = another || !plan.holds(entry.adapter(), entry.need().version());
    LoadReply reply = plan.request(entry.need(), another, now);
    if (isNew && reply instanceof LoadReply.Assigned) {
      assigned(entry, now);
    }
    return reply;
  }

  /**
   * Gives slots that became free since the last dispatch to entries of other flows that precede a
   * new one, which would otherwise overtake them.
   */
  private void assignPreceding(Entry entry, long now) {
    boolean competes =
        entries.all().stream().anyMatch(other -> !other.need().flow().equals(entry.need().flow()));
    if (competes) {
      for (Entry other : order.preceding(entries.all(), entry, now)) {
        boolean waits = other.until() >= now && !isHeldOutside.test(other.adapter());
        if (waits && !assign(other, now) && other.need().excluded().isEmpty()) {
          return;
        }
      }
    }
  }

  /**
   * Returns the place of a new entry.
   *
   * @param returnKey the key of its retries; 0 if unknown
   * @param inTimeUntil latest start of a load that serves it in time, in milliseconds
   * @param now the time, in milliseconds
   */
  Place place(long returnKey, long inTimeUntil, long now) {
    long sinceMs = returning.sinceFirst(returnKey, now);
    return new Place(inTimeUntil - sinceMs, returnKey, now - sinceMs);
  }

  private void rejected(Entry entry, long now) {
    outcomes.ended(LoadOutcome.REJECTED, entry.priority());
    order.rejected(entry, now);
    returning.rejected(entry.place(), now);
  }

  private void assigned(Entry entry, long now) {
    outcomes.ended(LoadOutcome.ASSIGNED, entry.priority());
    order.assigned(entry, now);
    returning.assigned(entry.place());
  }

  /** Returns the expected wait of a new entry, in milliseconds. */
  long queueWaitMs(Entry entry, long now) {
    int ahead = entry.isLate(now) ? 0 : order.preceding(entries.all(), entry, now).size();
    long inTimeMs = turnover.expectedMs(ahead, plan.slots(), now);
    if (now + inTimeMs <= entry.inTimeUntil()) {
      return inTimeMs;
    }
    int lateAhead = order.lateAhead(entries.all(), entry, now);
    return Math.max(inTimeMs, lateTurnover.expectedMs(lateAhead, plan.slots(), now));
  }

  /**
   * Returns the expected wait of the last queued load, in milliseconds; 0 if no load of such an
   * adapter is queued.
   */
  long lastWaitMs(Predicate<AdapterName> adapters, long now) {
    return entries.all().stream().map(Entry::adapter).anyMatch(adapters)
        ? turnover.expectedMs(entries.size() - 1, plan.slots(), now)
        : 0;
  }

  /**
   * Gives free slots to queued entries.
   *
   * @param now the time, in milliseconds
   * @return entries that were removed because they cannot get a slot before their deadline
   */
  List<Expired> dispatch(long now) {
    if (entries.isEmpty()) {
      return List.of();
    }
    // Their requests are sent to the copy elsewhere; a slot here would stay unused.
    entries.removeIf(entry -> isHeldOutside.test(entry.adapter()));
    updateLate(now);
    inOrder(now).forEach(entry -> assign(entry, now));
    return removeExpired(now);
  }

  /** Returns whether an entry got a slot. */
  private boolean assign(Entry entry, long now) {
    if (!(plan.assign(entry.need(), false, now) instanceof LoadReply.Assigned)) {
      return false;
    }
    entries.remove(entry.adapter());
    assigned(entry, now);
    turnover.slotAssigned(now);
    if (entry.isLate(now)) {
      lateTurnover.slotAssigned(now);
    }
    return true;
  }

  private void updateLate(long now) {
    boolean anyLate = entries.all().stream().anyMatch(entry -> entry.isLate(now));
    if (anyLate && !hadLateEntries) {
      lateTurnover.queueStarted(now);
    }
    hadLateEntries = anyLate;
  }

  /**
   * Removes entries whose expected wait exceeds their deadline, so that their callers are refused
   * early.
   */
  private List<Expired> removeExpired(long now) {
    List<Expired> expired = new ArrayList<>();
    int ahead = 0;
    for (Entry entry : inOrder(now)) {
      if (!entry.isLate(now)) {
        continue;
      }
      long expectedMs = lateTurnover.expectedMs(ahead, plan.slots(), now);
      if (now + expectedMs > entry.until()) {
        entries.remove(entry.adapter());
        rejected(entry, now);
        expired.add(new Expired(entry.adapter(), expectedMs));
      } else {
        ahead++;
      }
    }
    return expired;
  }

  /** Returns the loads that wait. */
  Collection<Entry> waiting() {
    return entries.all();
  }

  /** Returns the adapters that wait for a slot. */
  Set<AdapterName> waiting(Predicate<AdapterName> adapters) {
    return entries.all().stream().map(Entry::adapter).filter(adapters).collect(Collectors.toSet());
  }

  /** Returns whether the queue is empty. */
  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the entries in the order in which they get slots, and removes expired ones. */
  private List<Entry> inOrder(long now) {
    entries.removeIf(entry -> entry.until() < now);
    return order.sort(entries.all(), now);
  }
}
