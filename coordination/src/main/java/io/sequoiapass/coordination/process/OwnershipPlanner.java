package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.Backoff;
import io.sequoiapass.coordination.version.ConditionalWrite;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.coordination.version.WriteDecision;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Decides on changes of one data centre's ownership table, and follows each write to its end.
 *
 * <pre>{@code
 * planner.tableSeen(now, table);
 * planner.candidatesAre(now, keeper.incarnation(), candidates);
 * planner.endpointsAre(endpoints);
 * planner.takeOver(now).ifPresent(platform::write);
 * planner.answered(now, operation, answer);
 * }</pre>
 *
 * <p>Endpoints leave a living owner only by its own hand ({@link #handOver}, {@link #rebalance}),
 * which stops its orders for them before the write is sent. Others take what has no owner or whose
 * owner's lease ran out ({@link #takeOver}). One write at a time is under way; its fate is followed
 * until known. Not thread-safe; one shard drives it.
 */
public final class OwnershipPlanner {

  private static final long BACKOFF_BASE_MILLIS = 200;
  private static final long BACKOFF_CAP_MILLIS = 5_000;

  /** Balance is no hurry, and ranks every daemon for every endpoint owned. */
  private static final long BALANCE_EVERY_MILLIS = 1_000;

  private final OwnershipSettings settings;
  private final DataCentreId dataCentre;
  private final DaemonId self;
  private final String operationPrefix;
  private final LeaseObserver observer;
  private final RandomGenerator random;
  private final Backoff backoff;

  private OwnershipTable table = OwnershipTable.EMPTY;
  private long tableReceivedAt;
  private boolean tableRead;
  private Set<EndpointId> endpoints = new TreeSet<>();
  private Set<EndpointId> unowned = new TreeSet<>();
  private Set<EndpointId> removed = new TreeSet<>();
  private long ownIncarnation;
  private Map<DaemonId, Candidate> candidates = new TreeMap<>();
  private final Map<DaemonId, Long> candidateSince = new TreeMap<>();

  private long operations;
  private ConditionalWrite pending;
  private OwnershipProposal proposal;
  private Set<EndpointId> handingOver = new TreeSet<>();
  private long handingOverUntil;
  private long nextTryAt;
  private long nextBalanceAt = Long.MIN_VALUE;
  private long needSince = Long.MAX_VALUE;
  private long confirmAt = Long.MAX_VALUE;

  private OwnershipPlanner(
      OwnershipSettings settings,
      DataCentreId dataCentre,
      DaemonId self,
      LeaseObserver observer,
      RandomGenerator random) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    this.self = Objects.requireNonNull(self, "self");
    this.observer = Objects.requireNonNull(observer, "observer");
    this.operationPrefix = "own/" + self + "/" + Long.toHexString(random.nextLong()) + "/";
    this.random = Objects.requireNonNull(random, "random");
    this.backoff = Backoff.create(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, random);
  }

  /**
   * Returns a planner that knows no table yet.
   *
   * @param settings the bounds
   * @param dataCentre the data centre
   * @param self the daemon
   * @param observer its view of others' leases
   * @param random the source of jitter
   */
  public static OwnershipPlanner create(
      OwnershipSettings settings,
      DataCentreId dataCentre,
      DaemonId self,
      LeaseObserver observer,
      RandomGenerator random) {
    return new OwnershipPlanner(settings, dataCentre, self, observer, random);
  }

  /**
   * Takes in a table read from the platform or had from a peer; an older one changes nothing.
   *
   * @param now the time
   * @param seen the table
   * @return whether it is newer than the one known
   */
  public boolean tableSeen(long now, OwnershipTable seen) {
    boolean newer = seen.version() > table.version();
    if (newer || !tableRead) {
      tableReceivedAt = now;
      tableRead = true;
    }
    if (newer) {
      confirmAt = Long.MAX_VALUE;
      table = seen;
      compareEndpoints();
      nextBalanceAt = Long.MIN_VALUE;
      if (seen.version() >= handingOverUntil) {
        handingOver = new TreeSet<>();
      }
    }
    return newer;
  }

  /**
   * Takes in who may be given endpoints: daemons heard from, not draining, whose lease is live, the
   * own one included.
   *
   * @param now the time
   * @param incarnation the own process's number, candidate or not
   * @param processes the candidates
   */
  public void candidatesAre(long now, long incarnation, Map<DaemonId, Candidate> processes) {
    ownIncarnation = incarnation;
    candidates = new TreeMap<>(processes);
    candidateSince.keySet().retainAll(candidates.keySet());
    candidates.keySet().forEach(daemon -> candidateSince.putIfAbsent(daemon, now));
  }

  /** Takes in the endpoints of the data centre, from configuration. */
  public void endpointsAre(Collection<EndpointId> known) {
    endpoints = new TreeSet<>(known);
    compareEndpoints();
  }

  /** Returns the newest table known. */
  public OwnershipTable table() {
    return table;
  }

  /** Returns the daemons whose lease objects are to be read from the platform now. */
  public Set<DaemonId> leasesToCheck(long now) {
    Set<DaemonId> owners = table.daemons();
    owners.remove(self);
    long grace = rank() < settings.proposers() ? 0 : rank() * settings.rankDelayMillis();
    return observer.toCheck(now, owners, grace);
  }

  /**
   * Returns a write that gives owners to endpoints without one, if there are any, nothing else is
   * under way and it is this daemon's turn.
   */
  public Optional<OwnershipProposal> takeOver(long now) {
    Set<EndpointId> orphans = orphans(now);
    boolean needed =
        tableRead && !candidates.isEmpty() && !(orphans.isEmpty() && removed.isEmpty());
    needSince = needed ? Math.min(needSince, now) : Long.MAX_VALUE;
    if (!needed || isBusy(now) || now < needSince + turnDelay()) {
      return Optional.empty();
    }
    return propose(assignAll(orphans), removed);
  }

  /**
   * Returns a write that gives away endpoints of this daemon, which stops ordering for them now.
   *
   * @param now the time
   * @param leaving the endpoints; those that are not this daemon's are passed over
   */
  public Optional<OwnershipProposal> handOver(long now, Collection<EndpointId> leaving) {
    Set<EndpointId> own = isNamed() ? table.ownedBy(self) : new TreeSet<>();
    own.retainAll(new TreeSet<>(leaving));
    Map<DaemonId, Candidate> others = new TreeMap<>(candidates);
    others.remove(self);
    if (own.isEmpty() || others.isEmpty() || isBusy(now)) {
      return Optional.empty();
    }
    Assignment assignment = new Assignment(others, table, endpoints.size(), settings.loadFactor());
    Map<EndpointId, DaemonId> changed = new TreeMap<>();
    for (EndpointId endpoint : own) {
      assignment
          .assign(endpoint, Optional.of(self))
          .ifPresent(daemon -> changed.put(endpoint, daemon));
    }
    return proposeHandOver(changed);
  }

  /**
   * Returns a write that hands a few endpoints to daemons that rank before this one for them, such
   * as one that has come back; empty while nothing is to be gained.
   */
  public Optional<OwnershipProposal> rebalance(long now) {
    if (!candidates.containsKey(self) || !isNamed() || isBusy(now) || now < nextBalanceAt) {
      return Optional.empty();
    }
    nextBalanceAt = now + BALANCE_EVERY_MILLIS;
    Assignment assignment =
        new Assignment(candidates, table, endpoints.size(), settings.loadFactor());
    Map<EndpointId, DaemonId> changed = new TreeMap<>();
    for (EndpointId endpoint : table.ownedBy(self)) {
      Optional<DaemonId> better = assignment.assign(endpoint, Optional.of(self));
      better
          .filter(daemon -> !daemon.equals(self) && hasSettled(now, daemon))
          .ifPresent(daemon -> changed.put(endpoint, daemon));
      if (changed.size() == settings.maxMoves()) {
        break;
      }
    }
    return proposeHandOver(changed);
  }

  /**
   * Returns a write that changes no owner and only raises the version, which a lease that ran out
   * needs to be whole again (see {@link LeaseKeeper#needsTable}). It comes at a random moment:
   * after an outage every daemon needs one, and the first one written serves them all.
   */
  public Optional<OwnershipProposal> confirm(long now) {
    if (!tableRead || isReplaced() || table.countOf(self) == 0 || isBusy(now)) {
      return Optional.empty();
    }
    if (confirmAt == Long.MAX_VALUE) {
      confirmAt = now + random.nextLong(settings.rankDelayMillis());
    }
    if (now < confirmAt) {
      return Optional.empty();
    }
    return propose(new TreeMap<>(), List.of());
  }

  /**
   * Returns whether the newest table names a former process for this daemon's endpoints, so that
   * {@link #confirm} has to name this one.
   */
  public boolean needsConfirmation() {
    return table.countOf(self) > 0 && table.incarnation(self) < ownIncarnation;
  }

  /** Returns the write under way, to be sent again, once its time has come. */
  public Optional<OwnershipProposal> retry(long now) {
    return pending != null && now >= nextTryAt ? Optional.of(proposal) : Optional.empty();
  }

  /**
   * Takes in what came back from a write.
   *
   * @param now the time
   * @param operation the write's name
   * @param answer what came back
   * @return what became of the write; empty for an answer to an older write
   */
  public Optional<WriteDecision> answered(long now, OperationId operation, WriteAnswer answer) {
    if (pending == null || !pending.operation().equals(operation)) {
      return Optional.empty();
    }
    WriteDecision decision = pending.answered(answer);
    switch (decision.outcome()) {
      case APPLIED -> {
        handingOverUntil = 0;
        tableSeen(now, proposal.table().storedAs(decision.version()));
        finish();
        backoff.reset();
      }
      case CONFLICT -> {
        // The handover may have taken effect, its answer lost, and the table changed again since.
        // Until that table is known, ordering would be ordering another's endpoint.
        handingOverUntil = decision.version();
        finish();
        nextTryAt = now + backoff.nextDelayMillis();
      }
      case RETRY -> nextTryAt = now + retryDelay(answer);
      default -> throw new AssertionError(decision.outcome());
    }
    return Optional.of(decision);
  }

  /**
   * Returns whether a write's fate is unknown. Such a daemon must not report the platform as out:
   * its takeover may still take effect.
   */
  public boolean isWritePending() {
    return pending != null;
  }

  /**
   * Returns whether the newest table gives an endpoint to this daemon and it is not being handed
   * over; without it no order is given, whatever the lease says.
   */
  public boolean isOwned(EndpointId endpoint) {
    return !handingOver.contains(endpoint)
        && isNamed()
        && table.owner(endpoint).filter(self::equals).isPresent();
  }

  /**
   * Returns the endpoints that were given away by a write that is under way, or that was overtaken
   * by a table which is not known yet: their next owners may act already.
   */
  public Set<EndpointId> handingOver() {
    return new TreeSet<>(handingOver);
  }

  // The table gives this daemon's endpoints to this very process, not to one before or after it.
  private boolean isNamed() {
    return table.incarnation(self) == ownIncarnation;
  }

  private boolean isReplaced() {
    return table.incarnation(self) > ownIncarnation;
  }

  private Set<EndpointId> orphans(long now) {
    Set<EndpointId> orphans = new TreeSet<>(unowned);
    for (DaemonId owner : table.daemons()) {
      if (hasLapsed(now, owner)) {
        orphans.addAll(table.ownedBy(owner));
      }
    }
    orphans.retainAll(endpoints);
    return orphans;
  }

  // Rounds come many times a second, and changes of the table or of the endpoints seldom. Compared
  // each round, the 520 endpoints of a data centre cost more of a core than control may use.
  private void compareEndpoints() {
    unowned = new TreeSet<>(endpoints);
    unowned.removeAll(table.owners().keySet());
    removed = new TreeSet<>(table.owners().keySet());
    removed.removeAll(endpoints);
  }

  private boolean hasLapsed(long now, DaemonId owner) {
    return !owner.equals(self) && observer.hasLapsed(now, owner, tableReceivedAt);
  }

  private Map<EndpointId, DaemonId> assignAll(Set<EndpointId> orphans) {
    Assignment assignment =
        new Assignment(candidates, table, endpoints.size(), settings.loadFactor());
    Map<EndpointId, DaemonId> changed = new TreeMap<>();
    for (EndpointId endpoint : orphans) {
      assignment
          .assign(endpoint, table.owner(endpoint))
          .ifPresent(daemon -> changed.put(endpoint, daemon));
    }
    return changed;
  }

  private Optional<OwnershipProposal> proposeHandOver(Map<EndpointId, DaemonId> changed) {
    if (changed.isEmpty()) {
      return Optional.empty();
    }
    // An order given after the write was sent could reach the endpoint after the next owner's.
    handingOver = new TreeSet<>(changed.keySet());
    handingOverUntil = Long.MAX_VALUE;
    return propose(changed, List.of());
  }

  private Optional<OwnershipProposal> propose(
      Map<EndpointId, DaemonId> changed, Collection<EndpointId> removed) {
    operations++;
    OperationId operation = new OperationId(operationPrefix + operations);
    Map<DaemonId, Long> processes = new TreeMap<>();
    changed.values().forEach(daemon -> processes.put(daemon, candidates.get(daemon).incarnation()));
    processes.put(self, ownIncarnation);
    pending = ConditionalWrite.create(operation, table.version());
    proposal =
        new OwnershipProposal(operation, table.version(), table.next(changed, removed, processes));
    nextTryAt = Long.MAX_VALUE;
    return Optional.of(proposal);
  }

  private void finish() {
    pending = null;
    proposal = null;
    nextTryAt = Long.MIN_VALUE;
  }

  private boolean isBusy(long now) {
    return pending != null || now < nextTryAt;
  }

  // Every daemon of a data centre sees a lapsed lease at about the same moment; if all wrote, all
  // but one would conflict, at 23 data centres times 17 daemons. The first-ranked write at once and
  // the rest wait, each longer, so a proposer that is itself cut off from the platform is replaced.
  private long turnDelay() {
    return rank() * settings.rankDelayMillis();
  }

  private int rank() {
    List<DaemonId> ranked =
        new ArrayList<>(RendezvousHash.rank("propose/" + dataCentre, candidates.keySet()));
    int rank = ranked.indexOf(self);
    return rank >= 0 ? rank : ranked.size();
  }

  private boolean hasSettled(long now, DaemonId daemon) {
    return now - candidateSince.getOrDefault(daemon, now) >= settings.settleMillis();
  }

  private long retryDelay(WriteAnswer answer) {
    long delay = backoff.nextDelayMillis();
    return answer instanceof WriteAnswer.Throttled throttled
        ? Math.max(delay, throttled.retryAfterMillis())
        : delay;
  }
}
