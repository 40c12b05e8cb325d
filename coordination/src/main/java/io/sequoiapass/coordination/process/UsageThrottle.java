package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.version.UsageLimit;
import io.sequoiapass.coordination.version.Workspace;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

/**
 * Decides at one daemon whether a workspace's usage limit allows a request.
 *
 * <p>While coordinators are heard, it admits the smallest share that any of them allows, see {@link
 * UsageAllocator}. Without a coordinator it admits an equal part of half of the limit, so that all
 * daemons together keep it even if each is cut off from all others.
 *
 * <pre>{@code
 * OptionalLong retryAfterMs = throttle.admit(workspace, cost, now);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class UsageThrottle {

  /** A coordinator that sent no shares for this long does not count, in milliseconds. */
  private static final long SHARES_VALID_MS = 1_500;

  /**
   * Share of the limit that daemons without a coordinator admit together. The window before may
   * have been used up in its last seconds.
   */
  private static final double ALONE_SHARE = 0.5;

  /** Assumed number of daemons while the number is unknown; the largest planned fleet. */
  private static final int UNKNOWN_DAEMONS = 400;

  /** Retry advice while half of the requests are admitted, in milliseconds. */
  private static final long RETRY_AFTER_MS = 600;

  /** Longest retry advice, in milliseconds. */
  private static final long MAX_RETRY_AFTER_MS = 3_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final DoubleSupplier random;
  private final Map<DataCentreId, Shares> shares = new HashMap<>();
  private final Map<WorkspaceId, State> states = new HashMap<>();
  private final FleetSize fleet = new FleetSize();
  private boolean coordinated;

  private record Shares(Map<WorkspaceId, Double> byWorkspace, boolean counted, long receivedAt) {

    /**
     * A coordinator that has not counted a window allocates only part of the rate. While another
     * one has, the whole rate counts: the other may not hear all daemons.
     */
    double shareOf(WorkspaceId workspace, boolean anyCounted) {
      double share = byWorkspace.getOrDefault(workspace, 1.0);
      return anyCounted && !counted ? Math.min(1, share / UsageAllocator.UNCOUNTED_SHARE) : share;
    }
  }

  /** What this daemon admitted for one workspace. */
  private static final class State {
    /** Requests that were due but not admitted, as a number of requests. */
    private double due;

    /** Units that may be admitted without a coordinator. */
    private double level;

    private long filledAt;
    private long asked;
    private long admitted;
  }

  /**
   * Creates a throttle.
   *
   * @param random draws from 0 (inclusive) to 1 (exclusive); spreads the refusals of daemons and
   *     the returns of callers
   */
  public UsageThrottle(DoubleSupplier random) {
    this.random = random;
  }

  /**
   * Handles a coordinator's shares; a workspace that is not listed may have all that it asks.
   *
   * @param dataCentre the coordinator's data centre
   * @param received the shares
   * @param counted whether the coordinator has counted a whole window
   * @param linkedDaemons number of daemons that are linked to the coordinator
   * @param now the time, in milliseconds
   */
  public synchronized void update(
      DataCentreId dataCentre,
      List<WorkspaceShare> received,
      boolean counted,
      int linkedDaemons,
      long now) {
    Map<WorkspaceId, Double> byWorkspace = new HashMap<>();
    received.forEach(share -> byWorkspace.put(share.workspace(), share.share()));
    shares.put(dataCentre, new Shares(byWorkspace, counted, now));
    fleet.observe(linkedDaemons, !counted, now);
  }

  /** Removes a coordinator whose link has closed. */
  public synchronized void lost(DataCentreId dataCentre) {
    shares.remove(dataCentre);
  }

  /**
   * Admits a request, or returns after how many milliseconds to send it again.
   *
   * @param workspace the workspace
   * @param cost the request's cost, in units of the limit
   * @param now the time, in milliseconds
   */
  public synchronized OptionalLong admit(Workspace workspace, long cost, long now) {
    UsageLimit limit = workspace.limit();
    if (!limit.isLimited()) {
      return OptionalLong.empty();
    }
    State state = states.computeIfAbsent(workspace.id(), any -> newState(now));
    shares.values().removeIf(one -> now - one.receivedAt() > SHARES_VALID_MS);
    state.asked += cost;
    boolean hadCoordinator = coordinated;
    coordinated = !shares.isEmpty();
    if (hadCoordinator && !coordinated) {
      states.values().forEach(one -> startAlone(one, now));
    }
    double share = coordinated ? share(workspace.id()) : 0;
    boolean admitted = coordinated ? admitShare(state, share) : admitAlone(state, limit, cost, now);
    if (!admitted) {
      return OptionalLong.of(retryAfterMs(share));
    }
    state.admitted += cost;
    return OptionalLong.empty();
  }

  private State newState(long now) {
    State state = new State();
    state.due = random.getAsDouble();
    startAlone(state, now);
    return state;
  }

  private static void startAlone(State state, long now) {
    state.level = 0;
    state.filledAt = now;
  }

  private double share(WorkspaceId workspace) {
    boolean anyCounted = shares.values().stream().anyMatch(Shares::counted);
    return shares.values().stream()
        .mapToDouble(one -> one.shareOf(workspace, anyCounted))
        .min()
        .orElse(0);
  }

  /** Admits every n-th request rather than each with a probability, which wastes less. */
  private static boolean admitShare(State state, double share) {
    if (share >= 1) {
      return true;
    }
    state.due += share;
    if (state.due < 1) {
      return false;
    }
    state.due -= 1;
    return true;
  }

  /**
   * Admits an equal part of {@link #ALONE_SHARE} of the limit. A request may start with half of its
   * cost, which on average rounds neither up nor down; a part is often smaller than one request.
   */
  private boolean admitAlone(State state, UsageLimit limit, long cost, long now) {
    int sharing = fleet.daemons() > 0 ? fleet.daemons() : UNKNOWN_DAEMONS;
    double partPerS = ALONE_SHARE * limit.ratePerS() / sharing;
    double filled = partPerS * (now - state.filledAt) / MILLIS_PER_SECOND;
    state.filledAt = now;
    state.level = Math.min(state.level + filled, Math.max((double) cost, partPerS));
    if (state.level < cost / 2.0) {
      return false;
    }
    state.level -= cost;
    return true;
  }

  /** Returns a longer time the smaller the share, spread so that callers return one by one. */
  private long retryAfterMs(double share) {
    double usual = share > 0 ? RETRY_AFTER_MS / (2 * share) : MAX_RETRY_AFTER_MS;
    double spread = usual * (0.5 + random.getAsDouble());
    return (long) Math.min(MAX_RETRY_AFTER_MS, Math.max(RETRY_AFTER_MS / 2, spread));
  }

  /**
   * Takes back a request that was admitted and then provably not run.
   *
   * @param workspace the workspace
   * @param cost the request's cost, in units of the limit
   */
  public synchronized void refund(WorkspaceId workspace, long cost) {
    State state = states.get(workspace);
    if (state != null) {
      state.admitted -= cost;
    }
  }

  /** Returns what was asked and admitted since this process started, for each limited workspace. */
  public synchronized List<WorkspaceUsage> totals() {
    List<WorkspaceUsage> totals = new ArrayList<>();
    states.forEach(
        (workspace, state) ->
            totals.add(new WorkspaceUsage(workspace, state.asked, state.admitted)));
    return totals;
  }
}
