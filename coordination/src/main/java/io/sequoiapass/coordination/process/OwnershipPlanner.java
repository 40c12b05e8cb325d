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
 * Plans changes of one data centre's ownership table, and tracks each write until its outcome is
 * known.
 *
 * <pre>{@code
 * planner.tableReceived(now, table);
 * planner.setCandidates(now, leaseManager.incarnation(), candidates);
 * planner.setEndpoints(endpoints);
 * planner.takeOver(now).ifPresent(platform::write);
 * planner.writeAnswered(now, operation, answer);
 * }</pre>
 *
 * <p>Only a live owner itself gives up its endpoints ({@link #handOver}, {@link #rebalance}), and
 * it stops its orders for them before the write is sent. Other daemons take over endpoints that
 * have no owner or whose owner's lease has expired ({@link #takeOver}). At most one write is in
 * flight, until its outcome is known. Not thread-safe; confined to one shard.
 */
public final class OwnershipPlanner {

  private static final long BACKOFF_BASE_MILLIS = 200;
  private static final long BACKOFF_CAP_MILLIS = 5_000;

  /** Rebalancing is not urgent, and each run ranks every daemon for every endpoint owned. */
  private static final long REBALANCE_INTERVAL_MILLIS = 1_000;

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
  private long nextAttemptAt;
  private long nextRebalanceAt = Long.MIN_VALUE;
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
   * Returns a planner that holds no table yet.
   *
   * @param settings the timing settings and limits
   * @param dataCentre the data centre
   * @param self the daemon
   * @param observer the observer of other daemons' leases
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
   * Handles a table received from the platform or from a peer; an older one changes nothing.
   *
   * @param now the time
   * @param received the table
   * @return whether it is newer than the current one
   */
  public boolean tableReceived(long now, OwnershipTable received) {
    boolean newer = received.version() > table.version();
    if (newer || !tableRead) {
      tableReceivedAt = now;
      tableRead = true;
    }
    if (newer) {
      confirmAt = Long.MAX_VALUE;
      table = received;
      compareEndpoints();
      nextRebalanceAt = Long.MIN_VALUE;
      if (received.version() >= handingOverUntil) {
        handingOver = new TreeSet<>();
      }
    }
    return newer;
  }

  /**
   * Sets the daemons that endpoints may be assigned to: those that are alive, not draining and have
   * a live lease, including this one.
   *
   * @param now the time
   * @param incarnation the incarnation of this daemon, whether it is a candidate or not
   * @param newCandidates the candidates
   */
  public void setCandidates(long now, long incarnation, Map<DaemonId, Candidate> newCandidates) {
    ownIncarnation = incarnation;
    candidates = new TreeMap<>(newCandidates);
    candidateSince.keySet().retainAll(candidates.keySet());
    candidates.keySet().forEach(daemon -> candidateSince.putIfAbsent(daemon, now));
  }

  /** Sets the endpoints of the data centre, from the configuration. */
  public void setEndpoints(Collection<EndpointId> configured) {
    endpoints = new TreeSet<>(configured);
    compareEndpoints();
  }

  /** Returns the newest table received. */
  public OwnershipTable table() {
    return table;
  }

  /** Returns the daemons whose lease objects have to be read from the platform now. */
  public Set<DaemonId> leasesToCheck(long now) {
    Set<DaemonId> owners = table.daemons();
    owners.remove(self);
    long grace = rank() < settings.proposers() ? 0 : rank() * settings.rankDelayMillis();
    return observer.leasesToCheck(now, owners, grace);
  }

  /**
   * Returns a write that assigns endpoints without a live owner and removes unconfigured ones;
   * empty if there are none, a write is in flight, or the delay for this daemon's rank has not
   * elapsed.
   */
  public Optional<OwnershipProposal> takeOver(long now) {
    Set<EndpointId> orphans = orphans(now);
    boolean needed =
        tableRead && !candidates.isEmpty() && !(orphans.isEmpty() && removed.isEmpty());
    needSince = needed ? Math.min(needSince, now) : Long.MAX_VALUE;
    if (!needed || isBusy(now) || now < needSince + rankDelay()) {
      return Optional.empty();
    }
    return propose(assignOrphans(orphans), removed);
  }

  /**
   * Returns a write that hands over endpoints of this daemon; its orders for them stop with this
   * call.
   *
   * @param now the time
   * @param leaving the endpoints; those of other daemons are ignored
   */
  public Optional<OwnershipProposal> handOver(long now, Collection<EndpointId> leaving) {
    Set<EndpointId> own = isCurrentIncarnation() ? table.ownedBy(self) : new TreeSet<>();
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
   * Returns a write that hands over a few endpoints to daemons that rank higher for them, such as a
   * daemon that has rejoined; empty if there is nothing to rebalance.
   */
  public Optional<OwnershipProposal> rebalance(long now) {
    if (!candidates.containsKey(self)
        || !isCurrentIncarnation()
        || isBusy(now)
        || now < nextRebalanceAt) {
      return Optional.empty();
    }
    nextRebalanceAt = now + REBALANCE_INTERVAL_MILLIS;
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
   * Returns a write that changes no owner and only raises the version, which an expired lease needs
   * to become valid again (see {@link LeaseManager#needsNewerTable}). The write is delayed by a
   * random time: after an outage every daemon needs a newer version, and the first write serves all
   * of them.
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
   * Returns whether the newest table records a previous incarnation of this daemon, so that {@link
   * #confirm} has to record the current one.
   */
  public boolean needsConfirmation() {
    return table.countOf(self) > 0 && table.incarnation(self) < ownIncarnation;
  }

  /** Returns the pending write once it is due to be sent again. */
  public Optional<OwnershipProposal> retry(long now) {
    return pending != null && now >= nextAttemptAt ? Optional.of(proposal) : Optional.empty();
  }

  /**
   * Handles the answer to a write.
   *
   * @param now the time
   * @param operation the identifier of the write
   * @param answer the answer, or that it was lost
   * @return the outcome of the write; empty for an answer to an earlier write
   */
  public Optional<WriteDecision> writeAnswered(
      long now, OperationId operation, WriteAnswer answer) {
    if (pending == null || !pending.operation().equals(operation)) {
      return Optional.empty();
    }
    WriteDecision decision = pending.answered(answer);
    switch (decision.outcome()) {
      case APPLIED -> {
        handingOverUntil = 0;
        tableReceived(now, proposal.table().withVersion(decision.version()));
        clearPending();
        backoff.reset();
      }
      case CONFLICT -> {
        // The handover may have been applied, its answer lost, and the table changed again. Until
        // that table is received, an order could go to an endpoint of another owner.
        handingOverUntil = decision.version();
        clearPending();
        nextAttemptAt = now + backoff.nextDelayMillis();
      }
      case RETRY -> nextAttemptAt = now + retryDelay(answer);
      default -> throw new AssertionError(decision.outcome());
    }
    return Optional.of(decision);
  }

  /**
   * Returns whether the outcome of a write is unknown. Meanwhile the daemon must not report the
   * platform as out, since its takeover may still be applied.
   */
  public boolean isWritePending() {
    return pending != null;
  }

  /**
   * Returns whether this daemon owns an endpoint in the newest table and is not handing it over.
   * Otherwise no order is sent, whatever the status of the lease.
   */
  public boolean isOwned(EndpointId endpoint) {
    return !handingOver.contains(endpoint)
        && isCurrentIncarnation()
        && table.owner(endpoint).filter(self::equals).isPresent();
  }

  /**
   * Returns the endpoints that are being handed over by a write that is in flight, or that
   * conflicted with a table not received yet. Their new owners may already send orders.
   */
  public Set<EndpointId> handingOver() {
    return new TreeSet<>(handingOver);
  }

  // Whether the table records this incarnation of the daemon, not a previous or later one.
  private boolean isCurrentIncarnation() {
    return table.incarnation(self) == ownIncarnation;
  }

  private boolean isReplaced() {
    return table.incarnation(self) > ownIncarnation;
  }

  private Set<EndpointId> orphans(long now) {
    Set<EndpointId> orphans = new TreeSet<>(unowned);
    for (DaemonId owner : table.daemons()) {
      if (leaseHasExpired(now, owner)) {
        orphans.addAll(table.ownedBy(owner));
      }
    }
    orphans.retainAll(endpoints);
    return orphans;
  }

  // Control rounds run many times per second, but the table and the endpoints rarely change.
  // Comparing the 520 endpoints of a data centre in each round would exceed the share of a core
  // that control rounds may use.
  private void compareEndpoints() {
    unowned = new TreeSet<>(endpoints);
    unowned.removeAll(table.owners().keySet());
    removed = new TreeSet<>(table.owners().keySet());
    removed.removeAll(endpoints);
  }

  private boolean leaseHasExpired(long now, DaemonId owner) {
    return !owner.equals(self) && observer.hasExpired(now, owner, tableReceivedAt);
  }

  private Map<EndpointId, DaemonId> assignOrphans(Set<EndpointId> orphans) {
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
    // An order sent after the write could reach the endpoint after an order of the next owner.
    handingOver = new TreeSet<>(changed.keySet());
    handingOverUntil = Long.MAX_VALUE;
    return propose(changed, List.of());
  }

  private Optional<OwnershipProposal> propose(
      Map<EndpointId, DaemonId> changed, Collection<EndpointId> removed) {
    operations++;
    OperationId operation = new OperationId(operationPrefix + operations);
    Map<DaemonId, Long> incarnations = new TreeMap<>();
    changed
        .values()
        .forEach(daemon -> incarnations.put(daemon, candidates.get(daemon).incarnation()));
    incarnations.put(self, ownIncarnation);
    pending = ConditionalWrite.create(operation, table.version());
    proposal =
        new OwnershipProposal(
            operation, table.version(), table.next(changed, removed, incarnations));
    nextAttemptAt = Long.MAX_VALUE;
    return Optional.of(proposal);
  }

  private void clearPending() {
    pending = null;
    proposal = null;
    nextAttemptAt = Long.MIN_VALUE;
  }

  private boolean isBusy(long now) {
    return pending != null || now < nextAttemptAt;
  }

  // All daemons of a data centre observe an expired lease at about the same time. If all of them
  // wrote, all writes but one would conflict, with 23 data centres of 17 daemons each. The first-
  // ranked daemon writes immediately and each next one waits longer, so a proposer that cannot
  // reach the platform itself is replaced.
  private long rankDelay() {
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
