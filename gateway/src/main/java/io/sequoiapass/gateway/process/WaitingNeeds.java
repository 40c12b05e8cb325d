package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

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
 * everybody late once it is longer than the wanted time. Not safe for use by several threads.
 */
final class WaitingNeeds {

  private final PlacementPlan plan;
  private final Turnover turnover = new Turnover();
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

    private Wish and(Wish other) {
      return new Wish(
          adapter,
          Math.max(version, other.version),
          size,
          Math.min(inTimeUntil, other.inTimeUntil),
          Math.max(until, other.until));
    }
  }

  /** Waits for places of a plan. */
  WaitingNeeds(PlacementPlan plan) {
    this.plan = plan;
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
    long expectedMs = turnover.expectedMs(wishes.size(), plan.places(), now);
    if (now + expectedMs > wish.until()) {
      return new Need.NoRoom(expectedMs);
    }
    if (wishes.isEmpty()) {
      turnover.waiting(now);
    }
    wishes.merge(wish.adapter(), wish, Wish::and);
    return new Need.Waiting();
  }

  /** Gives places that became free to those that wait. */
  void place(long now) {
    if (wishes.isEmpty()) {
      return;
    }
    for (Wish wish : inTurn(now)) {
      Need need = plan.bring(wish.adapter(), wish.version(), false, wish.size(), now);
      if (need instanceof Need.Coming) {
        wishes.remove(wish.adapter());
        turnover.placed(now);
      }
    }
  }

  /** Returns whether nobody waits. */
  boolean isEmpty() {
    return wishes.isEmpty();
  }

  /** Returns the wishes in the order of their turns, without those whose time is over. */
  private List<Wish> inTurn(long now) {
    wishes.values().removeIf(wish -> wish.until() < now);
    List<Wish> turns = new ArrayList<>(wishes.values());
    turns.sort(
        Comparator.comparing((Wish wish) -> wish.inTimeUntil() < now)
            .thenComparingLong(wish -> wish.inTimeUntil() < now ? wish.until() : wish.inTimeUntil())
            .thenComparing(wish -> wish.adapter().toString()));
    return turns;
  }
}
