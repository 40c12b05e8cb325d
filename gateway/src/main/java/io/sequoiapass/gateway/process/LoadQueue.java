package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Queues load requests while every adapter slot is in use.
 *
 * <pre>{@code
 * LoadReply reply = queue.loadOrEnqueue(entry, now);
 * queue.dispatch(now);   // whenever a slot may have become free
 * }</pre>
 *
 * <p>Entries that can still be served in time come first, ordered by their remaining time: in order
 * of arrival, a queue longer than the wanted time would serve every entry late. Late entries get
 * the remaining slots. An entry whose expected wait exceeds its deadline is rejected immediately,
 * since a caller gains nothing from waiting first. Without the queue, rejected requests would be
 * retried every 400 ms, and a freed slot would stay unused until then or go to whichever request
 * came next. This matters under heavy load, when three quarters of the slots hold adapters in use,
 * or all of them while a quarter of the engines is down. Not safe for use by several threads.
 */
final class LoadQueue {

  private final PlacementPlan plan;
  private final Predicate<AdapterName> isHeldOutside;
  private final SlotTurnoverEstimator turnover = new SlotTurnoverEstimator();
  private final SlotTurnoverEstimator lateTurnover = new SlotTurnoverEstimator();
  private boolean hadLateEntries;
  private final Map<AdapterName, Entry> entries = new HashMap<>();

  /**
   * The requests that wait for one adapter.
   *
   * @param need what the load has to provide
   * @param inTimeUntil latest start of a load that serves the first of them in time, in
   *     milliseconds
   * @param until when the last of them times out, in milliseconds
   */
  record Entry(LoadNeed need, long inTimeUntil, long until) {

    private AdapterName adapter() {
      return need.adapter();
    }

    /** Returns whether a load that begins now is too late to serve it in time. */
    private boolean isLate(long now) {
      return inTimeUntil < now;
    }

    private Entry merge(Entry other) {
      return new Entry(
          need.merge(other.need),
          Math.min(inTimeUntil, other.inTimeUntil),
          Math.max(until, other.until));
    }
  }

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

  /**
   * Plans a load immediately, or queues it.
   *
   * @param entry the load and how long it may wait
   * @param now the time, in milliseconds
   */
  LoadReply loadOrEnqueue(Entry entry, long now) {
    LoadReply reply = plan.request(entry.need(), false, now);
    if (!(reply instanceof LoadReply.Rejected)) {
      return reply;
    }
    // An entry that is merged with a queued one needs no further slot.
    if (!entries.containsKey(entry.adapter())) {
      long expectedMs = queueWaitMs(entry, now);
      if (now + expectedMs > entry.until()) {
        return new LoadReply.Rejected(expectedMs);
      }
      if (entries.isEmpty()) {
        turnover.queueStarted(now);
      }
    }
    entries.merge(entry.adapter(), entry, Entry::merge);
    return new LoadReply.Queued();
  }

  /** Returns the expected wait of a new entry, in milliseconds. */
  long queueWaitMs(Entry entry, long now) {
    long ahead = entries.values().stream().filter(other -> isAhead(other, entry, now)).count();
    long inTimeMs = turnover.expectedMs((int) ahead, plan.slots(), now);
    if (now + inTimeMs <= entry.inTimeUntil()) {
      return inTimeMs;
    }
    long lateAhead = entries.values().stream().filter(other -> other.isLate(now)).count();
    return Math.max(inTimeMs, lateTurnover.expectedMs((int) lateAhead, plan.slots(), now));
  }

  /**
   * Returns the expected wait of the last queued load, in milliseconds; 0 if no load of such an
   * adapter is queued.
   */
  long lastWaitMs(Predicate<AdapterName> adapters, long now) {
    return entries.keySet().stream().anyMatch(adapters)
        ? turnover.expectedMs(entries.size() - 1, plan.slots(), now)
        : 0;
  }

  private static boolean isAhead(Entry other, Entry entry, long now) {
    return !other.isLate(now) && other.inTimeUntil() <= entry.inTimeUntil();
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
    entries.keySet().removeIf(isHeldOutside);
    updateLate(now);
    for (Entry entry : inOrder(now)) {
      LoadReply reply = plan.assign(entry.need(), false, now);
      if (reply instanceof LoadReply.Assigned) {
        entries.remove(entry.adapter());
        turnover.slotAssigned(now);
        if (entry.isLate(now)) {
          lateTurnover.slotAssigned(now);
        }
      }
    }
    return removeExpired(now);
  }

  private void updateLate(long now) {
    boolean anyLate = entries.values().stream().anyMatch(entry -> entry.isLate(now));
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
        expired.add(new Expired(entry.adapter(), expectedMs));
      } else {
        ahead++;
      }
    }
    return expired;
  }

  /** Returns whether the queue is empty. */
  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the entries in the order in which they get slots, and removes expired ones. */
  private List<Entry> inOrder(long now) {
    entries.values().removeIf(entry -> entry.until() < now);
    List<Entry> inOrder = new ArrayList<>(entries.values());
    inOrder.sort(
        Comparator.comparing((Entry entry) -> entry.isLate(now))
            .thenComparingLong(entry -> entry.isLate(now) ? entry.until() : entry.inTimeUntil())
            .thenComparing(entry -> entry.adapter().toString()));
    return inOrder;
  }
}
