package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Grants daemons permits for requests to endpoints that accept only so many a second from all
 * daemons together.
 *
 * <p>The load it answers: an endpoint names a limit of one request a second, and hundreds of
 * daemons have requests for it now and then. An equal part would be one request in minutes for each
 * daemon, and the parts of daemons without requests would be lost. Permits go to the daemons that
 * ask, in turn, one for each request.
 *
 * <pre>{@code
 * permits.ask(daemon, endpoint, 1.5, 1, 800, now);
 * permits.grant(endpoint, now).forEach(this::send);
 * permits.grant(now).forEach(this::send);   // several times a second
 * }</pre>
 *
 * <p>A permit is valid for {@link io.sequoiapass.coordination.connection.EndpointPermits#VALID_MS}.
 * In any four seconds an endpoint with a limit of n requests a second gets at most {@code 5 n + 2}
 * requests with permits. Only the holder of a valid lease may grant any. Not safe for use by
 * several threads.
 */
public final class PermitAllocator {

  /** Time from the granting of a permit to the sending of its request, in milliseconds. */
  private static final long DELIVERY_MS = 50;

  /** An endpoint for which no daemon asks is forgotten after this time, in milliseconds. */
  private static final long IDLE_MS = 10_000;

  /**
   * A daemon may report a limit that was raised since; it counts for this time, in milliseconds.
   */
  private static final long LOWEST_LIMIT_MS = 1_000;

  /**
   * Smallest rate of permits, in requests a second. The end of a limit is seen in an answer only,
   * so an endpoint that accepts nothing still gets a request now and then.
   */
  public static final double MIN_RATE_PER_S = 0.2;

  /** Time for which unused permits are saved, in milliseconds: grants come in rounds. */
  private static final double SAVED_MS = 250;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<EndpointId, Bucket> buckets = new HashMap<>();

  /**
   * A permit for one request.
   *
   * @param daemon the daemon that may send it
   * @param endpoint the endpoint
   * @param gapMs the expected time until the daemon's next permit, in milliseconds
   */
  public record Grant(DaemonId daemon, EndpointId endpoint, long gapMs) {}

  /** The permits of one endpoint. */
  private static final class Bucket {
    /** Until when a permit is useful to each daemon, in the order in which they asked. */
    private final Map<DaemonId, Long> asks = new LinkedHashMap<>();

    private double perS = Double.MAX_VALUE;
    private long limitAt;
    private double tokens = 1;
    private long filledAt;
    private long lastAskAt;

    private int burst;

    private void limit(double requestsPerS, int mostAtOnce, long now) {
      if (requestsPerS <= perS || now - limitAt >= LOWEST_LIMIT_MS) {
        perS = requestsPerS;
        limitAt = now;
      }
      burst = mostAtOnce;
    }

    private void removeExpired(long now) {
      asks.values().removeIf(usefulUntil -> usefulUntil < now + DELIVERY_MS);
    }

    private void fill(long now) {
      double filled = perS * (now - filledAt) / MILLIS_PER_SECOND;
      double saved = Math.min(burst, 1 + perS * SAVED_MS / MILLIS_PER_SECOND);
      tokens = Math.min(saved, tokens + filled);
      filledAt = now;
    }

    /** Returns the expected time until the permit of a daemon at a position of the queue. */
    private long waitMs(int position) {
      return (long) (Math.max(0, position - tokens) * MILLIS_PER_SECOND / perS);
    }
  }

  /**
   * Queues a daemon for one permit, unless it would come too late; a daemon that is queued keeps
   * its place.
   *
   * @param daemon the daemon
   * @param endpoint the endpoint
   * @param requestsPerS the limit that the endpoint has named to the daemon, in requests a second
   * @param mostAtOnce the largest number of permits that are granted at once
   * @param usefulMs how long the daemon's request can wait, in milliseconds
   * @param now the time, in milliseconds
   * @return the expected time until the permit, in milliseconds
   */
  public long ask(
      DaemonId daemon,
      EndpointId endpoint,
      double requestsPerS,
      int mostAtOnce,
      long usefulMs,
      long now) {
    Bucket bucket = buckets.get(endpoint);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.filledAt = now;
      bucket.burst = mostAtOnce;
      buckets.put(endpoint, bucket);
    } else {
      bucket.fill(now);
    }
    bucket.limit(Math.max(MIN_RATE_PER_S, requestsPerS), Math.max(1, mostAtOnce), now);
    bucket.lastAskAt = now;
    bucket.removeExpired(now);
    int position = bucket.asks.size() + (bucket.asks.containsKey(daemon) ? 0 : 1);
    long waitMs = bucket.waitMs(position);
    if (waitMs + DELIVERY_MS <= usefulMs) {
      bucket.asks.put(daemon, now + usefulMs);
    }
    return waitMs;
  }

  /**
   * Returns the permits that are due.
   *
   * @param now the time, in milliseconds
   */
  public List<Grant> grant(long now) {
    List<Grant> grants = new ArrayList<>();
    Iterator<Map.Entry<EndpointId, Bucket>> all = buckets.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<EndpointId, Bucket> entry = all.next();
      Bucket bucket = entry.getValue();
      if (now - bucket.lastAskAt > IDLE_MS) {
        all.remove();
      } else {
        bucket.removeExpired(now);
        grant(entry.getKey(), bucket, now, grants);
      }
    }
    return grants;
  }

  /**
   * Returns the permits of one endpoint that are due.
   *
   * @param endpoint the endpoint
   * @param now the time, in milliseconds
   */
  public List<Grant> grant(EndpointId endpoint, long now) {
    List<Grant> grants = new ArrayList<>();
    Bucket bucket = buckets.get(endpoint);
    if (bucket != null) {
      bucket.removeExpired(now);
      grant(endpoint, bucket, now, grants);
    }
    return grants;
  }

  private static void grant(EndpointId endpoint, Bucket bucket, long now, List<Grant> grants) {
    bucket.fill(now);
    Iterator<DaemonId> queue = bucket.asks.keySet().iterator();
    while (bucket.tokens >= 1 && queue.hasNext()) {
      DaemonId daemon = queue.next();
      queue.remove();
      bucket.tokens -= 1;
      grants.add(new Grant(daemon, endpoint, bucket.waitMs(bucket.asks.size() + 1)));
    }
  }

  /** Returns the time until the next permit is due, in milliseconds; empty if none is asked for. */
  public OptionalLong nextGrantMs() {
    return buckets.values().stream()
        .filter(bucket -> !bucket.asks.isEmpty())
        .mapToLong(bucket -> bucket.waitMs(1) + 1)
        .min();
  }

  /**
   * Removes a daemon from all queues.
   *
   * @param daemon the daemon
   */
  public void remove(DaemonId daemon) {
    buckets.values().forEach(bucket -> bucket.asks.remove(daemon));
  }

  /** Forgets all endpoints, since permits may be granted elsewhere from now on. */
  public void clear() {
    buckets.clear();
  }
}
