package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.version.UsageLimit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Decides which share of a workspace's requests all daemons may admit, so that its usage stays
 * within its limit in every window.
 *
 * <p>The load it answers: callers of one workspace that ask several times their limit, spread
 * unevenly over many daemons of which each sees only a few requests a second. A part of the limit
 * for each daemon would refuse requests long before the limit is reached; a share of what is asked
 * holds at every daemon, however the callers are spread.
 *
 * <p>The limit holds in spite of partitions: the usage of daemons that were lost is assumed to
 * continue for {@link #LOST_USAGE_MS}, and afterwards only the part of the data centres that are
 * still heard is allocated, since the others may have a coordinator of their own.
 *
 * <pre>{@code
 * allocator.report(daemon, dataCentre, usages, now);
 * List<Allocation> allocations = allocator.allocate(now);   // once a round
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class UsageAllocator {

  /**
   * How long the usage of a lost daemon is assumed to continue, in milliseconds. Afterwards it is
   * gone, or cut off and admits only an equal part.
   */
  public static final long LOST_USAGE_MS = 4_000;

  /** Time constant of the asked rate, in milliseconds; a few rounds of reports. */
  private static final double RATE_WINDOW_MS = 1_000;

  /**
   * Share of the rate that is allocated until a whole window was counted. What was admitted before
   * is unknown, and may have been all that the window allows.
   */
  static final double UNCOUNTED_SHARE = 0.6;

  /**
   * Largest multiple of the rate that is allocated at once. If all coordinators are lost just after
   * the window was used up in a moment, daemons would admit their parts on top of it.
   */
  private static final double MAX_RATE_MULTIPLE = 2;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final int dataCentres;
  private final long windowMs;
  private final Function<WorkspaceId, UsageLimit> limits;
  private final Map<DaemonId, Reporter> reporters = new HashMap<>();
  private final Map<DaemonId, Reporter> lost = new HashMap<>();
  private final Map<DataCentreId, Long> heardAt = new HashMap<>();
  private final Map<WorkspaceId, Usage> usages = new HashMap<>();
  private final long startedAt;
  private long lastRoundAt;

  /**
   * The decision on one workspace that may not have all that it asks.
   *
   * @param workspace the workspace
   * @param share the share of its requests that daemons may admit
   * @param askedPerS units that its callers ask in a second
   * @param allowedPerS units that may be admitted in the next second
   * @param used the share of the window's limit that is used
   */
  public record Allocation(
      WorkspaceId workspace, double share, double askedPerS, double allowedPerS, double used) {}

  /** A moving average, in units per second. */
  private static final class Rate {
    private double unitsPerS;
    private double pending;

    void add(double units) {
      pending += units;
    }

    /** Ends a round and returns the rate of this round alone. */
    double advance(double elapsedMs) {
      if (elapsedMs <= 0) {
        return unitsPerS;
      }
      double roundPerS = pending * MILLIS_PER_SECOND / elapsedMs;
      unitsPerS += (1 - Math.exp(-elapsedMs / RATE_WINDOW_MS)) * (roundPerS - unitsPerS);
      pending = 0;
      return roundPerS;
    }
  }

  /** The usage of one workspace over all daemons. */
  private static final class Usage {
    private final Rate asked = new Rate();
    private final UsageWindow window;
    private double admitted;

    Usage(long windowMs) {
      window = new UsageWindow(windowMs);
    }

    /** Returns whether nothing was asked lately and nothing admitted in the window. */
    boolean isIdle() {
      return admitted == 0 && window.used() <= 0 && asked.unitsPerS < 1 && asked.pending <= 0;
    }
  }

  /** A daemon that reports, or reported until it was lost. */
  private static final class Reporter {
    private final Map<WorkspaceId, Rate> admitted = new HashMap<>();
    private final Map<WorkspaceId, Rate> asked = new HashMap<>();
    private long lostAt;
  }

  /**
   * Creates an allocator that has counted nothing.
   *
   * @param dataCentres number of data centres that share the limits
   * @param windowMs length of the windows in which the limits hold, in milliseconds
   * @param limits the limit of each workspace in the configuration in use
   * @param now the time, in milliseconds
   */
  public UsageAllocator(
      int dataCentres, long windowMs, Function<WorkspaceId, UsageLimit> limits, long now) {
    this.dataCentres = Math.max(1, dataCentres);
    this.windowMs = windowMs;
    this.limits = limits;
    this.startedAt = now;
    this.lastRoundAt = now;
  }

  /**
   * Handles a daemon's report.
   *
   * @param daemon the daemon
   * @param dataCentre where it runs
   * @param reported what was asked of it since its last report
   * @param now the time, in milliseconds
   */
  public void report(
      DaemonId daemon, DataCentreId dataCentre, List<WorkspaceUsage> reported, long now) {
    lost.remove(daemon);
    heardAt.put(dataCentre, now);
    Reporter reporter = reporters.computeIfAbsent(daemon, any -> new Reporter());
    for (WorkspaceUsage one : reported) {
      count(one.workspace(), (double) one.asked(), (double) one.admitted());
      reporter
          .admitted
          .computeIfAbsent(one.workspace(), any -> new Rate())
          .add((double) one.admitted());
      reporter.asked.computeIfAbsent(one.workspace(), any -> new Rate()).add((double) one.asked());
    }
  }

  private void count(WorkspaceId workspace, double asked, double admitted) {
    Usage usage = usages.computeIfAbsent(workspace, any -> new Usage(windowMs));
    usage.asked.add(asked);
    usage.admitted += admitted;
  }

  /**
   * Handles the loss of a daemon's link. The daemon may still admit requests.
   *
   * @param daemon the daemon
   * @param now the time, in milliseconds
   */
  public void lost(DaemonId daemon, long now) {
    Reporter reporter = reporters.remove(daemon);
    if (reporter != null) {
      reporter.lostAt = now;
      lost.put(daemon, reporter);
    }
  }

  /**
   * Returns whether a whole window was counted, so that daemons can rely on the shares.
   *
   * @param now the time, in milliseconds
   */
  public boolean hasCountedAWindow(long now) {
    return now - startedAt >= windowMs;
  }

  /**
   * Ends a round; returns the decisions on all workspaces that may not have all that they ask.
   *
   * @param now the time, in milliseconds
   */
  public List<Allocation> allocate(long now) {
    double elapsedMs = Math.max(0, now - lastRoundAt);
    lastRoundAt = now;
    lost.values().removeIf(reporter -> now - reporter.lostAt >= LOST_USAGE_MS);
    assumeLostUsage(elapsedMs);
    advanceReporters(elapsedMs);
    double part = part(now);
    List<Allocation> allocations = new ArrayList<>();
    Iterator<Map.Entry<WorkspaceId, Usage>> all = usages.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<WorkspaceId, Usage> entry = all.next();
      UsageLimit limit = limits.apply(entry.getKey());
      if (!limit.isLimited()) {
        all.remove();
        continue;
      }
      if (entry.getValue().isIdle()) {
        all.remove();
        continue;
      }
      Allocation allocation = decide(entry.getKey(), entry.getValue(), limit, part, elapsedMs);
      if (allocation.share() < 1) {
        allocations.add(allocation);
      }
    }
    return allocations;
  }

  private void assumeLostUsage(double elapsedMs) {
    for (Reporter reporter : lost.values()) {
      reporter.admitted.forEach(
          (workspace, rate) -> count(workspace, 0, rate.unitsPerS * elapsedMs / MILLIS_PER_SECOND));
      reporter.asked.forEach(
          (workspace, rate) -> count(workspace, rate.unitsPerS * elapsedMs / MILLIS_PER_SECOND, 0));
    }
  }

  private void advanceReporters(double elapsedMs) {
    for (Reporter reporter : reporters.values()) {
      advanceAll(reporter.admitted, elapsedMs);
      advanceAll(reporter.asked, elapsedMs);
    }
  }

  private static void advanceAll(Map<WorkspaceId, Rate> rates, double elapsedMs) {
    rates.values().forEach(rate -> rate.advance(elapsedMs));
    rates.values().removeIf(rate -> rate.unitsPerS < 1);
  }

  /** Returns the part of the limits that belongs to the data centres that are heard. */
  private double part(long now) {
    heardAt.values().removeIf(at -> now - at >= LOST_USAGE_MS);
    return Math.min(1, Math.max(1, heardAt.size()) / (double) dataCentres);
  }

  private Allocation decide(
      WorkspaceId workspace, Usage usage, UsageLimit limit, double part, double elapsedMs) {
    double windowUnits = part * limit.unitsInWindow(windowMs);
    usage.window.add(usage.admitted / windowUnits, lastRoundAt);
    usage.admitted = 0;
    double roundPerS = usage.asked.advance(elapsedMs);
    double asked = Math.max(usage.asked.unitsPerS, roundPerS);
    double allowed =
        usage.window.allowedPerMs(lastRoundAt, elapsedMs) * windowUnits * MILLIS_PER_SECOND;
    allowed = Math.min(allowed, MAX_RATE_MULTIPLE * part * limit.ratePerS());
    if (!hasCountedAWindow(lastRoundAt)) {
      allowed = Math.min(allowed, UNCOUNTED_SHARE * part * limit.ratePerS());
    }
    double share = asked <= allowed ? 1 : allowed / asked;
    return new Allocation(workspace, share, asked, allowed, usage.window.used());
  }
}
