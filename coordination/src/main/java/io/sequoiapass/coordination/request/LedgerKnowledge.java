package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.request.LedgerMessage.Loss;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides for which keys one life of a daemon knows every record that there may be.
 *
 * <p>A home that lacks a record would let a key start twice, so a home without this knowledge
 * refuses. It knows a key if it was one of its two holders in every membership since it last heard
 * from all members, and if no loss took both holders along within the retention. Not safe for use
 * by several threads.
 */
final class LedgerKnowledge {

  private record Lost(Set<LedgerMember> before, Set<LedgerMember> left) {}

  /** Is a loss that counts; the homes are worked out once, since every member tells it again. */
  private record Barred(LedgerHomes before, Set<LedgerMember> left, long until) {

    Barred extendedTo(long later) {
      return later > until ? new Barred(before, left, later) : this;
    }
  }

  private final LedgerMember self;
  private final LedgerSettings settings;
  private final Ranking ranking;
  private final long startedAt;
  private final List<LedgerHomes> sinceLearnt = new ArrayList<>();
  private final Set<LedgerMember> awaited = new TreeSet<>();
  private final Map<LedgerHomes, Long> recent = new LinkedHashMap<>();
  private final Map<Lost, Barred> losses = new LinkedHashMap<>();
  private boolean learnt;
  private boolean seasoned;

  LedgerKnowledge(LedgerMember self, LedgerSettings settings, Ranking ranking, long nowMillis) {
    this.self = self;
    this.settings = settings;
    this.ranking = ranking;
    this.startedAt = nowMillis;
  }

  /** Returns whether this life knows every record of the key. */
  boolean knows(IdempotencyKey key, long nowMillis) {
    forget(nowMillis);
    return learnt
        && isSeasoned(nowMillis)
        && sinceLearnt.stream().allMatch(homes -> homes.isHolder(key, self))
        && losses.values().stream()
            .noneMatch(loss -> loss.before().holdersAreAmong(key, loss.left()));
  }

  boolean isSeasoned(long nowMillis) {
    return seasoned || nowMillis - startedAt >= settings.retentionMillis();
  }

  /** Notes a membership; all others have to be asked again. */
  void membersChanged(LedgerHomes before, LedgerHomes after, long nowMillis) {
    forget(nowMillis);
    recent.put(before, nowMillis);
    Set<LedgerMember> present = after.members();
    // A new second may not have its copies yet when the home leaves too: every membership that
    // ended within the settling time, or since this life last heard from all, is compared with
    // what is left of it.
    for (LedgerHomes homes : recent.keySet()) {
      Set<LedgerMember> left = new TreeSet<>(homes.members());
      left.removeAll(present);
      // A member that left before this life heard from it may have shared keys with it whose
      // records this life has not got yet: for these this life is as empty as one that left.
      if (left.stream().anyMatch(awaited::contains)) {
        left.add(self);
      }
      if (left.size() > 1) {
        bar(new Loss(homes.members(), left, settings.retentionMillis()), nowMillis);
      }
    }
    sinceLearnt.add(after);
    awaited.clear();
    awaited.addAll(present);
    awaited.remove(self);
  }

  /** Notes that no record can have been made before this life. */
  void nothingBefore() {
    seasoned = true;
  }

  Set<LedgerMember> awaited() {
    return new TreeSet<>(awaited);
  }

  void heardFrom(LedgerMessage.Records message, long nowMillis) {
    message.lost().forEach(loss -> bar(loss, nowMillis));
    awaited.remove(message.by());
    seasoned |= message.seasoned();
    settle();
  }

  /** Notes that nobody is left to ask, if so. */
  void settle() {
    if (awaited.isEmpty() && !sinceLearnt.isEmpty()) {
      learnt = true;
      LedgerHomes current = sinceLearnt.get(sinceLearnt.size() - 1);
      sinceLearnt.clear();
      sinceLearnt.add(current);
    }
  }

  List<Loss> losses(long nowMillis) {
    forget(nowMillis);
    return losses.values().stream()
        .map(loss -> new Loss(loss.before().members(), loss.left(), loss.until() - nowMillis))
        .toList();
  }

  private void bar(Loss loss, long nowMillis) {
    long until = nowMillis + loss.remainingMillis();
    losses.compute(
        new Lost(loss.before(), loss.left()),
        (lost, known) -> known == null ? barred(lost, until) : known.extendedTo(until));
  }

  private Barred barred(Lost lost, long until) {
    return new Barred(new LedgerHomes(ranking, lost.before()), lost.left(), until);
  }

  private void forget(long nowMillis) {
    if (awaited.isEmpty()) {
      recent.values().removeIf(at -> nowMillis - at > settings.settleMillis());
    }
    losses.values().removeIf(loss -> nowMillis >= loss.until());
  }
}
