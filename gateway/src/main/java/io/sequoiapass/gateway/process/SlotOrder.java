package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.request.Flow;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Orders queued loads: which of them gets the next slot.
 *
 * <p>Answers a load in which nearly all slots hold adapters in use and the loads of several
 * priorities and workspaces wait for the rest. Loads that can still be served in time precede late
 * ones; within each, the more urgent priority comes first, then the workspace that got the fewest
 * slots, then the least remaining time. There are three exceptions:
 *
 * <ul>
 *   <li>late loads of a priority that is served less often than a less urgent one precede the less
 *       urgent ones, since a late answer is better than none;
 *   <li>a priority that starves gets one slot before all others;
 *   <li>an adapter that has been rejected for seconds precedes the others of its priority.
 * </ul>
 *
 * <p>Loads of one flow are ordered by time alone. Not safe for use by several threads.
 */
final class SlotOrder {

  private static final Comparator<Ranked> ORDER =
      Comparator.comparingInt(Ranked::group)
          .thenComparingInt(ranked -> ranked.entry.priority())
          .thenComparing(Ranked::isLate)
          .thenComparing(ranked -> !ranked.isAged)
          .thenComparingDouble(Ranked::turn)
          .thenComparingLong(Ranked::time)
          .thenComparing(Ranked::isAdded)
          .thenComparing(ranked -> ranked.entry.adapter().toString());

  private final SlotShares shares = new SlotShares();
  private final ServiceRatios ratios = new ServiceRatios();
  private final UnservedAdapters unserved = new UnservedAdapters();

  /**
   * An entry and its place.
   *
   * @param entry the entry
   * @param isAdded whether it is a new one
   * @param group 0 if its priority starves, 1 if it precedes late entries, otherwise 2
   * @param isLate whether it is late
   * @param isAged whether its adapter has been rejected for seconds
   * @param turn the slots that its workspace will have had before it
   * @param time the time by which equal entries are ordered, in milliseconds
   */
  private record Ranked(
      LoadQueue.Entry entry,
      boolean isAdded,
      int group,
      boolean isLate,
      boolean isAged,
      double turn,
      long time) {

    private Ranked withTurn(double other) {
      return new Ranked(entry, isAdded, group, isLate, isAged, other, time);
    }

    private Ranked first() {
      return new Ranked(entry, isAdded, 0, isLate, isAged, turn, time);
    }
  }

  /** The entries of one workspace that compete with each other for its turns. */
  private record Line(
      int group, int priority, boolean isLate, boolean isAged, Optional<WorkspaceId> workspace) {}

  /** Records that an entry got a slot. */
  void assigned(LoadQueue.Entry entry, long now) {
    shares.assigned(entry.need().flow().workspace(), now);
    ratios.assigned(entry.need().flow(), now);
    unserved.assigned(entry.adapter());
  }

  /** Records that an entry was rejected. */
  void rejected(LoadQueue.Entry entry, long now) {
    ratios.rejected(entry.need().flow(), now);
    unserved.rejected(entry.adapter(), now);
  }

  /** Returns entries in the order in which they get slots. */
  List<LoadQueue.Entry> sort(Collection<LoadQueue.Entry> entries, long now) {
    return ranked(entries, Optional.empty(), now).stream().map(Ranked::entry).toList();
  }

  /** Returns the entries that precede a new one, which follows those of equal time. */
  List<LoadQueue.Entry> preceding(
      Collection<LoadQueue.Entry> entries, LoadQueue.Entry added, long now) {
    return ranked(entries, Optional.of(added), now).stream()
        .takeWhile(ranked -> !ranked.isAdded)
        .map(Ranked::entry)
        .toList();
  }

  /** Returns how many late entries would precede a new one if it were late. */
  int lateAhead(Collection<LoadQueue.Entry> entries, LoadQueue.Entry added, long now) {
    Flow flow = added.need().flow();
    int ahead = 0;
    Map<Optional<WorkspaceId>, Integer> equal = new HashMap<>();
    for (LoadQueue.Entry entry : entries) {
      if (entry.isLate(now) && entry.priority() < flow.priority()) {
        ahead++;
      } else if (entry.isLate(now) && entry.priority() == flow.priority()) {
        equal.merge(entry.need().flow().workspace(), 1, Integer::sum);
      }
    }
    int own = equal.getOrDefault(flow.workspace(), 0);
    double turn = shares.of(flow.workspace(), now) + own;
    for (Map.Entry<Optional<WorkspaceId>, Integer> each : equal.entrySet()) {
      double turnsBefore = Math.max(0, Math.ceil(turn - shares.of(each.getKey(), now)));
      ahead +=
          each.getKey().equals(flow.workspace())
              ? own
              : (int) Math.min(each.getValue(), turnsBefore);
    }
    return ahead;
  }

  private List<Ranked> ranked(
      Collection<LoadQueue.Entry> entries, Optional<LoadQueue.Entry> added, long now) {
    Set<Flow> flows = new HashSet<>();
    entries.forEach(entry -> flows.add(entry.need().flow()));
    added.ifPresent(entry -> flows.add(entry.need().flow()));
    boolean competing = flows.size() > 1;
    List<Ranked> ranked = new ArrayList<>();
    entries.forEach(entry -> ranked.add(rank(entry, false, competing, now)));
    added.ifPresent(entry -> ranked.add(rank(entry, true, competing, now)));
    List<Ranked> ordered = inTurns(ranked);
    if (competing) {
      putStarvingFirst(ordered, now);
    }
    return ordered;
  }

  private Ranked rank(LoadQueue.Entry entry, boolean isAdded, boolean competing, long now) {
    boolean late = entry.isLate(now);
    boolean behind = late && competing && ratios.isBehind(entry.priority(), now);
    boolean aged = competing && unserved.isAged(entry.adapter(), now);
    double had = shares.of(entry.need().flow().workspace(), now);
    long time = late ? entry.until() : entry.place().time();
    return new Ranked(entry, isAdded, late && !behind ? 2 : 1, late, aged, had, time);
  }

  /** Counts each workspace's earlier entries as slots that it will have had. */
  private static List<Ranked> inTurns(List<Ranked> ranked) {
    ranked.sort(ORDER);
    Map<Line, Integer> ahead = new HashMap<>();
    List<Ranked> ordered = new ArrayList<>();
    for (Ranked one : ranked) {
      Optional<WorkspaceId> workspace = one.entry.need().flow().workspace();
      Line line = new Line(one.group, one.entry.priority(), one.isLate, one.isAged, workspace);
      int before = ahead.merge(line, 1, Integer::sum) - 1;
      ordered.add(one.withTurn(one.turn + before));
    }
    ordered.sort(ORDER);
    return ordered;
  }

  private void putStarvingFirst(List<Ranked> ordered, long now) {
    Set<Integer> priorities = new HashSet<>();
    for (int i = 0; i < ordered.size(); i++) {
      Ranked one = ordered.get(i);
      if (priorities.add(one.entry.priority()) && ratios.isStarving(one.entry.priority(), now)) {
        ordered.set(i, one.first());
      }
    }
    ordered.sort(ORDER);
  }
}
