package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Ranks the endpoints of a base model for an adapter, identically at every entry without messages.
 *
 * <pre>{@code
 * List<EndpointId> order = router.rank(adapter, 1, candidates);
 * }</pre>
 *
 * <p>The rank is a weighted rendezvous hash of adapter and endpoint, so a change of an endpoint's
 * owner moves no adapter, and a lost endpoint moves only its own adapters. An endpoint that is full
 * by its owner's last hint ranks behind those with capacity. Immutable and safe for use by several
 * threads.
 */
public final class Router {

  /**
   * Endpoint that may take the request.
   *
   * @param endpoint the endpoint
   * @param weight its share of the adapters relative to other endpoints, above 0
   * @param load its owner's last hint, or empty
   * @param loadAgeMs age of the hint
   */
  public record Candidate(
      EndpointId endpoint, double weight, Optional<EndpointLoad> load, long loadAgeMs) {

    /** Validates the components. */
    public Candidate {
      Objects.requireNonNull(endpoint, "endpoint");
      Objects.requireNonNull(load, "load");
      if (!(weight > 0)) {
        throw new IllegalArgumentException("weight must be above 0: " + weight);
      }
    }
  }

  private record Ranked(
      Candidate candidate, double score, boolean full, boolean holds, boolean inPartition) {}

  /**
   * Endpoints among which a missing adapter is loaded on the one with the lowest price: enough that
   * a slot of low demand is among them, and few enough that an evicted adapter returns to where its
   * demand is recorded.
   */
  public static final int MAX_PRICED_ENDPOINTS = 8;

  /**
   * Addition to the price for each request queued at the owner, where loads wait for each other.
   */
  private static final int PRICE_PER_QUEUED_REQUEST = 50;

  /** Hash input that selects the endpoints that hot adapters share. */
  private static final String DENSE = "dense";

  /**
   * With fewer endpoints none is reserved for hot adapters: one of two or three would be idle while
   * no adapter is hot, and callers would wait for the loads that it does not take.
   */
  private static final int MIN_ENDPOINTS_TO_PARTITION = 4;

  private final long maxLoadAgeMs;
  private final double denseShare;

  /**
   * Creates a router that reserves no endpoints for hot adapters.
   *
   * @param maxLoadAgeMs older hints are ignored
   */
  public Router(long maxLoadAgeMs) {
    this(maxLoadAgeMs, 0);
  }

  /**
   * Creates a router.
   *
   * @param maxLoadAgeMs older hints are ignored: affinity then decides alone, since a stale "full"
   *     would send an adapter's requests to an engine that must load it first
   * @param denseShare share of a model's endpoints that hot adapters share, at least 0 and below 1;
   *     at least one endpoint unless 0 or the model has fewer than four
   */
  public Router(long maxLoadAgeMs, double denseShare) {
    if (maxLoadAgeMs < 1) {
      throw new IllegalArgumentException("maxLoadAgeMs must be at least 1: " + maxLoadAgeMs);
    }
    if (!(denseShare >= 0 && denseShare < 1)) {
      throw new IllegalArgumentException("denseShare must be from 0 and below 1: " + denseShare);
    }
    this.maxLoadAgeMs = maxLoadAgeMs;
    this.denseShare = denseShare;
  }

  /** Returns the endpoints, best first, for an adapter that is not hot. */
  public List<EndpointId> rank(AdapterVersion adapter, int copies, List<Candidate> candidates) {
    return rank(adapter, copies, false, candidates);
  }

  /**
   * Returns the endpoints, best first.
   *
   * <p>Hot adapters share few endpoints, where their requests form full batches. Other adapters use
   * the rest, so that their loads don't compete for the same slots.
   *
   * @param adapter the adapter version that the request runs on
   * @param copies endpoints among which the adapter's requests are spread, at least 1
   * @param hot whether the adapter is hot
   * @param candidates the endpoints of the adapter's base model
   */
  public List<EndpointId> rank(
      AdapterVersion adapter, int copies, boolean hot, List<Candidate> candidates) {
    if (copies < 1) {
      throw new IllegalArgumentException("copies must be at least 1: " + copies);
    }
    Set<EndpointId> dense = dense(candidates);
    List<Ranked> ranked = new ArrayList<>();
    for (Candidate candidate : candidates) {
      boolean inPartition = dense.contains(candidate.endpoint()) == hot;
      boolean holds = holds(adapter, candidate);
      double score = score(adapter.adapter().value(), candidate);
      ranked.add(new Ranked(candidate, score, isFull(candidate), holds, inPartition));
    }
    ranked.sort(
        Comparator.comparing((Ranked r) -> !r.inPartition())
            .thenComparingDouble(r -> -r.score())
            .thenComparing(r -> r.candidate().endpoint()));
    int spread = Math.min(copies, ranked.size());
    ranked.subList(0, spread).sort(Comparator.comparingDouble(Router::utilization));
    ranked.sort(
        Comparator.comparing(Ranked::full)
            .thenComparing(r -> hot && !r.inPartition())
            .thenComparing(r -> !r.holds()));
    List<Candidate> ordered = ranked.stream().map(Ranked::candidate).toList();
    return (hot ? ordered : byPrice(adapter, ordered, partitionSize(false, ordered.size())))
        .stream().map(Candidate::endpoint).toList();
  }

  /**
   * Returns the number of leading endpoints in the result of {@link #rank} that are meant for
   * adapters of this kind.
   *
   * @param hot true for hot adapters, false for the others
   * @param candidates endpoints of the model
   */
  public int partitionSize(boolean hot, int candidates) {
    int dense = denseCount(candidates);
    return hot ? dense : candidates - dense;
  }

  /**
   * Sorts the first endpoints by price if no endpoint with capacity is known to hold the adapter.
   */
  private List<Candidate> byPrice(AdapterVersion adapter, List<Candidate> ordered, int limit) {
    int count = Math.min(MAX_PRICED_ENDPOINTS, Math.min(limit, ordered.size()));
    List<Candidate> choices = ordered.subList(0, count);
    long priced = choices.stream().filter(this::isFresh).count();
    // With few known prices, every miss would be sent to the same few endpoints.
    if (priced * 2 < count || ordered.stream().anyMatch(c -> holds(adapter, c) && !isFull(c))) {
      return ordered;
    }
    List<Candidate> priceOrder = new ArrayList<>(choices);
    priceOrder.sort(Comparator.comparing(this::isFull).thenComparingLong(this::price));
    priceOrder.addAll(ordered.subList(count, ordered.size()));
    return priceOrder;
  }

  private boolean isFresh(Candidate candidate) {
    return candidate.load().isPresent() && candidate.loadAgeMs() <= maxLoadAgeMs;
  }

  private long price(Candidate candidate) {
    return candidate
        .load()
        .filter(load -> isFresh(candidate))
        .map(load -> load.price() + (long) PRICE_PER_QUEUED_REQUEST * load.queued())
        .orElse((long) EndpointLoad.NOTHING_TO_EVICT);
  }

  /**
   * Returns endpoints that {@link #rank} ordered without hints, reordered by their hints: for
   * callers that cache an adapter's order, since it changes only with the endpoints.
   *
   * @param adapter the adapter version that the request runs on
   * @param hot whether the adapter is hot; it then stays on the endpoints that hot adapters share
   * @param ordered the endpoints, best first
   */
  public List<EndpointId> applyHints(AdapterVersion adapter, boolean hot, List<Candidate> ordered) {
    List<Candidate> hinted =
        ordered.stream()
            .sorted(
                Comparator.comparing(this::isFull).thenComparing(c -> !hot && !holds(adapter, c)))
            .toList();
    return (hot ? hinted : byPrice(adapter, hinted, hinted.size()))
        .stream().map(Candidate::endpoint).toList();
  }

  /**
   * Returns the endpoints that hot adapters share, selected by a hash and so the same at every
   * entry.
   */
  private Set<EndpointId> dense(List<Candidate> candidates) {
    return candidates.stream()
        .sorted(
            Comparator.comparingDouble((Candidate c) -> -score(DENSE, c))
                .thenComparing(Candidate::endpoint))
        .limit(denseCount(candidates.size()))
        .map(Candidate::endpoint)
        .collect(Collectors.toSet());
  }

  private int denseCount(int candidates) {
    if (denseShare == 0 || candidates < MIN_ENDPOINTS_TO_PARTITION) {
      return 0;
    }
    return Math.min(candidates - 1, Math.max(1, (int) Math.round(candidates * denseShare)));
  }

  /**
   * Returns how many endpoints an adapter needs.
   *
   * @param streams its requests in flight in the region
   * @param maxStreams streams of one endpoint
   */
  public static int copies(double streams, int maxStreams) {
    return Math.max(1, (int) Math.ceil(streams / maxStreams));
  }

  private boolean isFull(Candidate candidate) {
    return candidate.loadAgeMs() <= maxLoadAgeMs
        && candidate.load().filter(l -> l.streams() + l.queued() >= l.maxStreams()).isPresent();
  }

  /**
   * Returns whether the endpoint held the adapter at its last hint; only its owner has the exact
   * state.
   */
  private static boolean holds(AdapterVersion adapter, Candidate candidate) {
    return candidate.load().filter(load -> load.adapters().contains(adapter)).isPresent();
  }

  private static double utilization(Ranked ranked) {
    return ranked
        .candidate()
        .load()
        .map(l -> (l.streams() + l.queued()) / (double) l.maxStreams())
        .orElse(0.0);
  }

  private static double score(String name, Candidate candidate) {
    byte[] key = (name + " " + candidate.endpoint()).getBytes(StandardCharsets.UTF_8);
    long bits = MurmurHash3.hash128x64(key)[0] >>> 11;
    double unit = (bits + 0.5) / (1L << 53);
    return -candidate.weight() / Math.log(unit);
  }
}
