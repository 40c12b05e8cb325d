package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.IdempotencyKey;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Assigns each idempotency key its primary and secondary replica among the members.
 *
 * <pre>{@code
 * LedgerReplicas replicas = new LedgerReplicas(Ranking.rendezvous(), members);
 * replicas.primary(key).ifPresent(primary -> send(primary, reserve));
 * }</pre>
 *
 * <p>The secondary is the daemon that becomes primary when the primary leaves, so a takeover moves
 * no record. Instances are immutable and safe for use by several threads.
 */
public final class LedgerReplicas {

  private final Ranking ranking;
  private final Map<DaemonId, LedgerMember> members = new TreeMap<>();
  private final Set<LedgerMember> all;

  /**
   * Creates the assignment among these members; of several incarnations of a daemon the latest
   * counts.
   */
  public LedgerReplicas(Ranking ranking, Collection<LedgerMember> members) {
    this.ranking = Objects.requireNonNull(ranking, "ranking");
    for (LedgerMember member : members) {
      this.members.merge(
          member.daemon(), member, (a, b) -> a.incarnation() > b.incarnation() ? a : b);
    }
    this.all = Collections.unmodifiableSet(new TreeSet<>(this.members.values()));
  }

  /** Returns the primary replica, which decides about the key; empty without members. */
  public Optional<LedgerMember> primary(IdempotencyKey key) {
    return at(key, 0);
  }

  /** Returns the secondary replica, which keeps the copy; empty with fewer than two members. */
  public Optional<LedgerMember> secondary(IdempotencyKey key) {
    return at(key, 1);
  }

  /** Returns all members. */
  public Set<LedgerMember> members() {
    return all;
  }

  boolean isReplica(IdempotencyKey key, LedgerMember member) {
    return replicas(key).contains(member);
  }

  boolean replicasAreAmong(IdempotencyKey key, Set<LedgerMember> candidates) {
    return candidates.containsAll(replicas(key));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LedgerReplicas assignment && members.equals(assignment.members);
  }

  @Override
  public int hashCode() {
    return members.hashCode();
  }

  private List<LedgerMember> replicas(IdempotencyKey key) {
    return ranked(key).stream().limit(2).map(members::get).toList();
  }

  private Optional<LedgerMember> at(IdempotencyKey key, int rank) {
    return ranked(key).stream().skip(rank).findFirst().map(members::get);
  }

  private List<DaemonId> ranked(IdempotencyKey key) {
    return ranking.rank(key.value(), members.keySet());
  }
}
