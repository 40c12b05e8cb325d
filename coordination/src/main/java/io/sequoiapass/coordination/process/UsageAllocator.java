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
 * within its limit.
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
   * known to be gone or cut off, and a daemon that is cut off admits only an equal part.
   */
  public static final long LOST_USAGE_MS = 4_000;

  /** Time constant of the asked rate, in milliseconds; a few rounds of reports. */
  private static final double RATE_WINDOW_MS = 1_000;

  /** Time in which a surplus or deficit of the bucket is used up, in milliseconds. */
  private static final double CORRECTION_MS = 3_000;

  /**
   * Share of the rate that is allocated while the bucket is empty. The rest covers requests that
   * daemons admit between two reports.
   */
  private static final double TARGET_SHARE = 0.97;

  /** Smallest share of the rate that is allocated while a deficit is paid back. */
  private static final double MIN_TARGET_SHARE = 0.3;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final int dataCentres;
  private final Function<WorkspaceId, UsageLimit> limits;
  private final Map<DaemonId, Reporter> reporters = new HashMap<>();
  private final Map<DaemonId, Reporter> lost = new HashMap<>();
  private final Map<DataCentreId, Long> heardAt = new HashMap<>();
  private final Map<WorkspaceId, Bucket> buckets = new HashMap<>();
  private long lastRoundAt;

  /**
   * The decision on one workspace that may not have all that it asks.
   *
   * @param workspace the workspace
   * @param share the share of its requests that daemons may admit
   * @param askedPerS units that its callers ask in a second
   * @param allowedPerS units that the limit allows in a second here
   * @param level units left of the burst; negative if too many were admitted
   */
  public record Allocation(
      WorkspaceId workspace, double share, double askedPerS, double allowedPerS, double level) {}

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
  private static final class Bucket {
    private final Rate asked = new Rate();
    private double level;
  }

  /** A daemon that reports, or reported until it was lost. */
  private static final class Reporter {
    private final Map<WorkspaceId, Rate> admitted = new HashMap<>();
    private final Map<WorkspaceId, Rate> asked = new HashMap<>();
    private long lostAt;
  }

  /**
   * Creates an allocator without usage. Its buckets start empty, since another coordinator may have
   * allocated the burst just before.
   *
   * @param dataCentres number of data centres that share the limits
   * @param limits the limit of each workspace in the configuration in use
   * @param now the time, in milliseconds
   */
  public UsageAllocator(int dataCentres, Function<WorkspaceId, UsageLimit> limits, long now) {
    this.dataCentres = Math.max(1, dataCentres);
    this.limits = limits;
    this.lastRoundAt = now;
  }

  /**
   * Handles a daemon's report.
   *
   * @param daemon the daemon
   * @param dataCentre where it runs
   * @param usages what was asked of it since its last report
   * @param now the time, in milliseconds
   */
  public void report(
      DaemonId daemon, DataCentreId dataCentre, List<WorkspaceUsage> usages, long now) {
    lost.remove(daemon);
    heardAt.put(dataCentre, now);
    Reporter reporter = reporters.computeIfAbsent(daemon, any -> new Reporter());
    for (WorkspaceUsage usage : usages) {
      WorkspaceId workspace = usage.workspace();
      Bucket bucket = buckets.computeIfAbsent(workspace, any -> new Bucket());
      bucket.level -= (double) usage.admitted();
      bucket.asked.add((double) usage.asked());
      reporter
          .admitted
          .computeIfAbsent(workspace, any -> new Rate())
          .add((double) usage.admitted());
      reporter.asked.computeIfAbsent(workspace, any -> new Rate()).add((double) usage.asked());
    }
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
   * Returns the shares of all workspaces that may not have all that they ask, and advances the
   * buckets.
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
    Iterator<Map.Entry<WorkspaceId, Bucket>> all = buckets.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<WorkspaceId, Bucket> entry = all.next();
      UsageLimit limit = limits.apply(entry.getKey());
      if (!limit.isLimited()) {
        all.remove();
        continue;
      }
      Allocation allocation = advance(entry.getKey(), entry.getValue(), limit, part, elapsedMs);
      if (allocation.share() < 1) {
        allocations.add(allocation);
      }
    }
    return allocations;
  }

  private void assumeLostUsage(double elapsedMs) {
    for (Reporter reporter : lost.values()) {
      reporter.admitted.forEach(
          (workspace, rate) ->
              buckets.computeIfAbsent(workspace, any -> new Bucket()).level -=
                  rate.unitsPerS * elapsedMs / MILLIS_PER_SECOND);
      reporter.asked.forEach(
          (workspace, rate) ->
              buckets
                  .computeIfAbsent(workspace, any -> new Bucket())
                  .asked
                  .add(rate.unitsPerS * elapsedMs / MILLIS_PER_SECOND));
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

  private static Allocation advance(
      WorkspaceId workspace, Bucket bucket, UsageLimit limit, double part, double elapsedMs) {
    double rate = limit.ratePerS() * part;
    bucket.level += rate * elapsedMs / MILLIS_PER_SECOND;
    bucket.level = Math.min(bucket.level, limit.burst() * part);
    double roundPerS = bucket.asked.advance(elapsedMs);
    double asked = Math.max(bucket.asked.unitsPerS, roundPerS);
    double target = TARGET_SHARE * rate + bucket.level * MILLIS_PER_SECOND / CORRECTION_MS;
    target = Math.max(target, MIN_TARGET_SHARE * rate);
    double share = asked <= target ? 1 : target / asked;
    return new Allocation(workspace, share, asked, rate, bucket.level);
  }
}
