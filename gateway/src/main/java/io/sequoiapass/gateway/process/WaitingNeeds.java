package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Keeps the wishes for adapters that wait for a place at an engine, and gives places in turn.
 *
 * <pre>{@code
 * Need need = waiting.needOrWait(wish, now);
 * waiting.place(now);   // whenever a place may have become free
 * }</pre>
 *
 * <p>It answers the load of a day on which nearly all places hold adapters in use: three quarters
 * of them then, and all of them while a quarter of the engines is down. Asked again each 400 ms, a
 * freed place stood idle or went to whoever happened to ask next. Those that can still be answered
 * in time go first, by the time that they have left; a queue in the order of arrival would serve
 * everybody late once it is longer than the wanted time. Those that are late get what the others
 * leave, and how often that is decides how many of them wait: a late answer is better than none,
 * and a refusal at once better than one after a wait. Not safe for use by several threads.
 */
final class WaitingNeeds {

  private final PlacementPlan plan;
  private final Predicate<AdapterName> isElsewhere;
  private final Turnover turns = new Turnover();
  private final Turnover lateTurns = new Turnover();
  private boolean lateWaited;
  private final Map<AdapterName, Wish> wishes = new HashMap<>();

  /**
   * The requests that wait for one adapter.
   *
   * @param adapter the adapter
   * @param version the least version that will do
   * @param size the size of the first of them
   * @param inTimeUntil until when a load serves the first of them in time, in milliseconds
   * @param until how long the last of them waits, in milliseconds
   */
  record Wish(AdapterName adapter, long version, RequestSize size, long inTimeUntil, long until) {

    /** Returns whether no load that begins now would serve it in time. */
    private boolean isLate(long now) {
      return inTimeUntil < now;
    }

    private Wish and(Wish other) {
      return new Wish(
          adapter,
          Math.max(version, other.version),
          size,
          Math.min(inTimeUntil, other.inTimeUntil),
          Math.max(until, other.until));
    }
  }

  /**
   * An adapter whose turn would come too late.
   *
   * @param adapter the adapter
   * @param comeBackMs when its turn would come, in milliseconds
   */
  record Hopeless(AdapterName adapter, long comeBackMs) {}

  /**
   * Waits for places of a plan.
   *
   * @param plan the plan
   * @param isElsewhere whether another data centre has an adapter, or has it brought
   */
  WaitingNeeds(PlacementPlan plan, Predicate<AdapterName> isElsewhere) {
    this.plan = plan;
    this.isElsewhere = isElsewhere;
  }

  /**
   * Has an adapter brought, or lets it wait for a place.
   *
   * @param wish the adapter, and how long it may wait
   * @param now the time, in milliseconds
   */
  Need needOrWait(Wish wish, long now) {
    Need atOnce = plan.need(wish.adapter(), wish.version(), false, wish.size(), now);
    if (!(atOnce instanceof Need.NoRoom)) {
      return atOnce;
    }
    // One that joins others takes no further place.
    if (!wishes.containsKey(wish.adapter())) {
      long expectedMs = turnMs(wish, now);
      if (now + expectedMs > wish.until()) {
        return new Need.NoRoom(expectedMs);
      }
      if (wishes.isEmpty()) {
        turns.waiting(now);
      }
    }
    wishes.merge(wish.adapter(), wish, Wish::and);
    return new Need.Waiting();
  }

  /** Returns when the turn of a new wish would come, in milliseconds. */
  long turnMs(Wish wish, long now) {
    long ahead = wishes.values().stream().filter(other -> goesBefore(other, wish, now)).count();
    long inTimeMs = turns.expectedMs((int) ahead, plan.places(), now);
    if (now + inTimeMs <= wish.inTimeUntil()) {
      return inTimeMs;
    }
    long lateAhead = wishes.values().stream().filter(other -> other.isLate(now)).count();
    return Math.max(inTimeMs, lateTurns.expectedMs((int) lateAhead, plan.places(), now));
  }

  private static boolean goesBefore(Wish other, Wish wish, long now) {
    return !other.isLate(now) && other.inTimeUntil() <= wish.inTimeUntil();
  }

  /**
   * Gives places that became free to those that wait.
   *
   * @param now the time, in milliseconds
   * @return those that wait no longer, since their turn would come too late
   */
  List<Hopeless> place(long now) {
    if (wishes.isEmpty()) {
      return List.of();
    }
    // Their callers have gone there; a place here would be taken for nobody.
    wishes.keySet().removeIf(isElsewhere);
    noteLate(now);
    for (Wish wish : inTurn(now)) {
      Need need = plan.bring(wish.adapter(), wish.version(), false, wish.size(), now);
      if (need instanceof Need.Coming) {
        wishes.remove(wish.adapter());
        turns.placed(now);
        if (wish.isLate(now)) {
          lateTurns.placed(now);
        }
      }
    }
    return dropHopeless(now);
  }

  private void noteLate(long now) {
    boolean anyLate = wishes.values().stream().anyMatch(wish -> wish.isLate(now));
    if (anyLate && !lateWaited) {
      lateTurns.waiting(now);
    }
    lateWaited = anyLate;
  }

  /** A caller that cannot be served any more is told at once, and not once its time is over. */
  private List<Hopeless> dropHopeless(long now) {
    List<Hopeless> hopeless = new ArrayList<>();
    int ahead = 0;
    for (Wish wish : inTurn(now)) {
      if (!wish.isLate(now)) {
        continue;
      }
      long expectedMs = lateTurns.expectedMs(ahead, plan.places(), now);
      if (now + expectedMs > wish.until()) {
        wishes.remove(wish.adapter());
        hopeless.add(new Hopeless(wish.adapter(), expectedMs));
      } else {
        ahead++;
      }
    }
    return hopeless;
  }

  /** Returns whether nobody waits. */
  boolean isEmpty() {
    return wishes.isEmpty();
  }

  /** Returns the wishes in the order of their turns, without those whose time is over. */
  private List<Wish> inTurn(long now) {
    wishes.values().removeIf(wish -> wish.until() < now);
    List<Wish> inTurn = new ArrayList<>(wishes.values());
    inTurn.sort(
        Comparator.comparing((Wish wish) -> wish.isLate(now))
            .thenComparingLong(wish -> wish.isLate(now) ? wish.until() : wish.inTimeUntil())
            .thenComparing(wish -> wish.adapter().toString()));
    return inTurn;
  }
}
