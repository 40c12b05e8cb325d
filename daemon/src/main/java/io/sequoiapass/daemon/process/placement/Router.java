package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Ranks the endpoints of a base model for an adapter, the same way at every entry without a
 * message.
 *
 * <pre>{@code
 * List<EndpointId> order = router.rank(adapter, 1, candidates);
 * }</pre>
 *
 * <p>The rank is a weighted rendezvous hash of adapter and endpoint, so a change of an endpoint's
 * owner moves no adapter, and a lost endpoint moves only its own. An endpoint whose owner's last
 * hint says that it is full goes behind those that have room. Immutable and safe for use by several
 * threads.
 */
public final class Router {

  /**
   * One endpoint that may take the request.
   *
   * @param endpoint the endpoint
   * @param weight its share of the adapters against others, above 0
   * @param load its owner's last hint, or empty
   * @param loadAgeMs how old the hint is
   */
  public record Candidate(
      EndpointId endpoint, double weight, Optional<EndpointLoad> load, long loadAgeMs) {

    /** Checks the parts. */
    public Candidate {
      Objects.requireNonNull(endpoint, "endpoint");
      Objects.requireNonNull(load, "load");
      if (!(weight > 0)) {
        throw new IllegalArgumentException("weight must be above 0: " + weight);
      }
    }
  }

  private record Ranked(Candidate candidate, double score, boolean full, boolean holds) {}

  private final long maxLoadAgeMs;

  /**
   * Creates a router.
   *
   * @param maxLoadAgeMs a hint older than this is ignored: affinity then decides alone, since a
   *     stale "full" would send an adapter's requests to an engine that must load it first
   */
  public Router(long maxLoadAgeMs) {
    if (maxLoadAgeMs < 1) {
      throw new IllegalArgumentException("maxLoadAgeMs must be at least 1: " + maxLoadAgeMs);
    }
    this.maxLoadAgeMs = maxLoadAgeMs;
  }

  /**
   * Returns the endpoints, best first.
   *
   * @param adapter what the request runs on
   * @param copies endpoints among which the adapter's requests are spread, at least 1
   * @param candidates the endpoints of the adapter's base model
   */
  public List<EndpointId> rank(AdapterVersion adapter, int copies, List<Candidate> candidates) {
    if (copies < 1) {
      throw new IllegalArgumentException("copies must be at least 1: " + copies);
    }
    List<Ranked> ranked = new ArrayList<>();
    for (Candidate candidate : candidates) {
      ranked.add(
          new Ranked(
              candidate, score(adapter, candidate), full(candidate), holds(adapter, candidate)));
    }
    ranked.sort(
        Comparator.comparingDouble((Ranked r) -> -r.score())
            .thenComparing(r -> r.candidate().endpoint()));
    int spread = Math.min(copies, ranked.size());
    ranked.subList(0, spread).sort(Comparator.comparingDouble(Router::busy));
    ranked.sort(Comparator.comparing(Ranked::full).thenComparing(r -> !r.holds()));
    return ranked.stream().map(r -> r.candidate().endpoint()).toList();
  }

  /**
   * Returns how many endpoints an adapter needs.
   *
   * @param streams its requests under way in the region
   * @param maxStreams streams of one endpoint
   */
  public static int copies(double streams, int maxStreams) {
    return Math.max(1, (int) Math.ceil(streams / maxStreams));
  }

  private boolean full(Candidate candidate) {
    return candidate.loadAgeMs() <= maxLoadAgeMs
        && candidate.load().filter(l -> l.streams() + l.queued() >= l.maxStreams()).isPresent();
  }

  /** Tells whether the endpoint held the adapter; its owner finds out exactly. */
  private static boolean holds(AdapterVersion adapter, Candidate candidate) {
    return candidate.load().filter(load -> load.adapters().contains(adapter)).isPresent();
  }

  private static double busy(Ranked ranked) {
    return ranked
        .candidate()
        .load()
        .map(l -> (l.streams() + l.queued()) / (double) l.maxStreams())
        .orElse(0.0);
  }

  private static double score(AdapterVersion adapter, Candidate candidate) {
    byte[] key = (adapter.adapter() + " " + candidate.endpoint()).getBytes(StandardCharsets.UTF_8);
    long bits = MurmurHash3.hash128x64(key)[0] >>> 11;
    double unit = (bits + 0.5) / (1L << 53);
    return -candidate.weight() / Math.log(unit);
  }
}
