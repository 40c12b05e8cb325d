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
 * Tracks for which keys an incarnation of a daemon is certain to hold every existing record.
 *
 * <p>A primary replica without a record would let its key start twice, so it refuses keys for which
 * its records may be incomplete. The records of a key are complete if this incarnation was one of
 * the key's two replicas in every membership since it last synchronized with all members, and if no
 * loss of both replicas occurred within the retention period. Not safe for use by several threads.
 */
final class LedgerSyncState {

  private record LossKey(Set<LedgerMember> before, Set<LedgerMember> left) {}

  /**
   * An excluded key range after a replica loss. Its replica assignment is computed once, since
   * every member reports the same loss.
   */
  private record ExcludedRange(LedgerReplicas before, Set<LedgerMember> left, long until) {

    ExcludedRange extendedTo(long later) {
      return later > until ? new ExcludedRange(before, left, later) : this;
    }
  }

  private final LedgerMember self;
  private final LedgerSettings settings;
  private final Ranking ranking;
  private final long startedAt;
  private final List<LedgerReplicas> sinceSynchronized = new ArrayList<>();
  private final Set<LedgerMember> pendingMembers = new TreeSet<>();
  private final Map<LedgerReplicas, Long> recentReplicas = new LinkedHashMap<>();
  private final Map<LossKey, ExcludedRange> losses = new LinkedHashMap<>();
  private boolean synchronizedOnce;
  private boolean retentionElapsed;

  LedgerSyncState(LedgerMember self, LedgerSettings settings, Ranking ranking, long nowMillis) {
    this.self = self;
    this.settings = settings;
    this.ranking = ranking;
    this.startedAt = nowMillis;
  }

  /** Returns whether this incarnation holds every record of the key. */
  boolean hasAllRecords(IdempotencyKey key, long nowMillis) {
    removeExpired(nowMillis);
    return synchronizedOnce
        && isRetentionElapsed(nowMillis)
        && sinceSynchronized.stream().allMatch(replicas -> replicas.isReplica(key, self))
        && losses.values().stream()
            .noneMatch(loss -> loss.before().replicasAreAmong(key, loss.left()));
  }

  boolean isRetentionElapsed(long nowMillis) {
    return retentionElapsed || nowMillis - startedAt >= settings.retentionMillis();
  }

  /** Applies a membership; the records of all other members must be requested again. */
  void membersChanged(LedgerReplicas before, LedgerReplicas after, long nowMillis) {
    removeExpired(nowMillis);
    recentReplicas.put(before, nowMillis);
    Set<LedgerMember> present = after.members();
    // A new secondary may not have its copies yet when the primary leaves as well. Every membership
    // that ended within the settling time, or since this incarnation last synchronized with all
    // members, is therefore compared with the present one.
    for (LedgerReplicas replicas : recentReplicas.keySet()) {
      Set<LedgerMember> left = new TreeSet<>(replicas.members());
      left.removeAll(present);
      // A member that left before it replied may have shared keys with this incarnation whose
      // records did not arrive. For these keys this incarnation counts as having left too.
      if (left.stream().anyMatch(pendingMembers::contains)) {
        left.add(self);
      }
      if (left.size() > 1) {
        exclude(new Loss(replicas.members(), left, settings.retentionMillis()), nowMillis);
      }
    }
    sinceSynchronized.add(after);
    pendingMembers.clear();
    pendingMembers.addAll(present);
    pendingMembers.remove(self);
  }

  /** Declares that no record can predate this incarnation. */
  void assumeNoEarlierRecords() {
    retentionElapsed = true;
  }

  Set<LedgerMember> pendingMembers() {
    return new TreeSet<>(pendingMembers);
  }

  void receiveRecords(LedgerMessage.Records message, long nowMillis) {
    message.lost().forEach(loss -> exclude(loss, nowMillis));
    pendingMembers.remove(message.by());
    retentionElapsed |= message.retentionElapsed();
    updateSynchronized();
  }

  /** Marks this incarnation as synchronized if no replies are pending. */
  void updateSynchronized() {
    if (pendingMembers.isEmpty() && !sinceSynchronized.isEmpty()) {
      synchronizedOnce = true;
      LedgerReplicas current = sinceSynchronized.get(sinceSynchronized.size() - 1);
      sinceSynchronized.clear();
      sinceSynchronized.add(current);
    }
  }

  List<Loss> losses(long nowMillis) {
    removeExpired(nowMillis);
    return losses.values().stream()
        .map(loss -> new Loss(loss.before().members(), loss.left(), loss.until() - nowMillis))
        .toList();
  }

  private void exclude(Loss loss, long nowMillis) {
    long until = nowMillis + loss.remainingMillis();
    losses.compute(
        new LossKey(loss.before(), loss.left()),
        (lost, excluded) ->
            excluded == null ? excludedRange(lost, until) : excluded.extendedTo(until));
  }

  private ExcludedRange excludedRange(LossKey lost, long until) {
    return new ExcludedRange(new LedgerReplicas(ranking, lost.before()), lost.left(), until);
  }

  private void removeExpired(long nowMillis) {
    if (pendingMembers.isEmpty()) {
      recentReplicas.values().removeIf(at -> nowMillis - at > settings.settleMillis());
    }
    losses.values().removeIf(loss -> nowMillis >= loss.until());
  }
}
