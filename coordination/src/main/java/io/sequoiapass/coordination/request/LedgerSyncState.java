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
   * Keys whose records may be lost because all their replicas under the membership {@code before}
   * are in {@code left}; excluded until {@code until}, in milliseconds. Every member reports the
   * same loss, so the replica assignment is computed only once.
   */
  private record ExcludedKeys(LedgerReplicas before, Set<LedgerMember> left, long until) {

    ExcludedKeys extendedTo(long later) {
      return later > until ? new ExcludedKeys(before, left, later) : this;
    }
  }

  private final LedgerMember self;
  private final LedgerSettings settings;
  private final Ranking ranking;
  private final long startedAtMillis;
  private final List<LedgerReplicas> membershipsSinceSync = new ArrayList<>();
  private final Set<LedgerMember> pendingMembers = new TreeSet<>();
  // Ended memberships, each with the time at which it last ended, in milliseconds.
  private final Map<LedgerReplicas, Long> recentMemberships = new LinkedHashMap<>();
  private final Map<LossKey, ExcludedKeys> losses = new LinkedHashMap<>();
  private boolean synchronizedOnce;
  private boolean retentionElapsed;

  LedgerSyncState(LedgerMember self, LedgerSettings settings, Ranking ranking, long nowMillis) {
    this.self = self;
    this.settings = settings;
    this.ranking = ranking;
    this.startedAtMillis = nowMillis;
  }

  /** Returns whether this incarnation holds every record of the key. */
  boolean hasAllRecords(IdempotencyKey key, long nowMillis) {
    removeExpired(nowMillis);
    return synchronizedOnce
        && isRetentionElapsed(nowMillis)
        && membershipsSinceSync.stream().allMatch(replicas -> replicas.isReplica(key, self))
        && losses.values().stream()
            .noneMatch(loss -> loss.before().replicasAreAmong(key, loss.left()));
  }

  boolean isRetentionElapsed(long nowMillis) {
    return retentionElapsed || nowMillis - startedAtMillis >= settings.retentionMillis();
  }

  /** Applies a membership; the records of all other members must be requested again. */
  void membersChanged(LedgerReplicas before, LedgerReplicas after, long nowMillis) {
    removeExpired(nowMillis);
    recentMemberships.put(before, nowMillis);
    Set<LedgerMember> present = after.members();
    // A new secondary may not have its copies yet when the primary leaves as well. Every membership
    // that ended within the settling time, or since this incarnation last synchronized with all
    // members, is therefore compared with the present one.
    for (LedgerReplicas replicas : recentMemberships.keySet()) {
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
    membershipsSinceSync.add(after);
    pendingMembers.clear();
    pendingMembers.addAll(present);
    pendingMembers.remove(self);
  }

  /**
   * Skips the initial wait of one retention period; call only if no earlier incarnation of a daemon
   * can have stored a record.
   */
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
    if (pendingMembers.isEmpty() && !membershipsSinceSync.isEmpty()) {
      synchronizedOnce = true;
      LedgerReplicas current = membershipsSinceSync.get(membershipsSinceSync.size() - 1);
      membershipsSinceSync.clear();
      membershipsSinceSync.add(current);
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
        (key, excluded) ->
            excluded == null ? excludedKeys(key, until) : excluded.extendedTo(until));
  }

  private ExcludedKeys excludedKeys(LossKey key, long until) {
    return new ExcludedKeys(new LedgerReplicas(ranking, key.before()), key.left(), until);
  }

  private void removeExpired(long nowMillis) {
    if (pendingMembers.isEmpty()) {
      recentMemberships.values().removeIf(at -> nowMillis - at > settings.settleMillis());
    }
    losses.values().removeIf(loss -> nowMillis >= loss.until());
  }
}
