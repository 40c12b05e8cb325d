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
 * Names the home of each idempotency key and the second daemon that keeps a copy.
 *
 * <pre>{@code
 * LedgerHomes homes = new LedgerHomes(Ranking.rendezvous(), members);
 * homes.home(key).ifPresent(home -> send(home, reserve));
 * }</pre>
 *
 * <p>The second is the one that becomes home when the first leaves, so a takeover moves no record.
 * Instances are immutable and safe for use by several threads.
 */
public final class LedgerHomes {

  private final Ranking ranking;
  private final Map<DaemonId, LedgerMember> members = new TreeMap<>();
  private final Set<LedgerMember> all;

  /** Creates the homes among these members; a later life of the same daemon wins. */
  public LedgerHomes(Ranking ranking, Collection<LedgerMember> members) {
    this.ranking = Objects.requireNonNull(ranking, "ranking");
    for (LedgerMember member : members) {
      this.members.merge(
          member.daemon(), member, (a, b) -> a.incarnation() > b.incarnation() ? a : b);
    }
    this.all = Collections.unmodifiableSet(new TreeSet<>(this.members.values()));
  }

  /** Returns the member that decides about the key; empty without members. */
  public Optional<LedgerMember> home(IdempotencyKey key) {
    return at(key, 0);
  }

  /** Returns the member that keeps the copy; empty with fewer than two members. */
  public Optional<LedgerMember> second(IdempotencyKey key) {
    return at(key, 1);
  }

  /** Returns all members. */
  public Set<LedgerMember> members() {
    return all;
  }

  boolean isHolder(IdempotencyKey key, LedgerMember member) {
    return holders(key).contains(member);
  }

  boolean holdersAreAmong(IdempotencyKey key, Set<LedgerMember> some) {
    return some.containsAll(holders(key));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LedgerHomes homes && members.equals(homes.members);
  }

  @Override
  public int hashCode() {
    return members.hashCode();
  }

  private List<LedgerMember> holders(IdempotencyKey key) {
    return ranked(key).stream().limit(2).map(members::get).toList();
  }

  private Optional<LedgerMember> at(IdempotencyKey key, int place) {
    return ranked(key).stream().skip(place).findFirst().map(members::get);
  }

  private List<DaemonId> ranked(IdempotencyKey key) {
    return ranking.rank(key.value(), members.keySet());
  }
}
