package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.gateway.request.Generation;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * Chooses an endpoint for a request by the expected time until its response begins.
 *
 * <pre>{@code
 * Choice choice = chooser.forGeneration(candidates, generation, 38.4, 4_000, loadable);
 * }</pre>
 *
 * <p>Adapter loads, cached prompt parts and backlog are weighed in one unit, milliseconds. Not safe
 * for use by several threads.
 */
public final class EndpointChooser {

  /** Round trip of the order for a load, in milliseconds. */
  private static final double ORDER_MS = 15;

  /**
   * Penalty for a load outside the adapter's home data centre, in milliseconds. Makes concurrent
   * requests for one adapter pick the same coordinator, which avoids duplicate loads: under heavy
   * load a fifth of 190 duplicates were ordered within 100 ms of the first load.
   */
  private static final double AWAY_MS = 60;

  /** Penalty for a transfer from the store in addition to its time, in milliseconds. */
  private static final double TRANSFER_MS = 150;

  /** Beyond this share of its memory an engine preempts requests and reads their prompts again. */
  private static final double MEMORY_SHARE = 0.92;

  /** Expected wait for free memory or a free slot, in milliseconds: half a usual request. */
  private static final double FULL_MS = 700;

  /** Smallest saving that justifies the load of another copy, in milliseconds. */
  private static final double COPY_GAIN_MS = 100;

  /** Shortest time after which a refused caller may retry, in milliseconds. */
  private static final long RETRY_AFTER_MS = 250;

  private final LoadUncertainty uncertainty;

  /**
   * Creates a chooser.
   *
   * @param uncertainty what other daemons may have sent since their load was last reported
   */
  EndpointChooser(LoadUncertainty uncertainty) {
    this.uncertainty = uncertainty;
  }

  /** Records the time between two reports of the other daemons' load, in milliseconds. */
  void loadReported(long sinceLastMs) {
    uncertainty.reported((double) sinceLastMs);
  }

  /**
   * Chooses for a request to an engine.
   *
   * @param candidates the endpoints that can serve it
   * @param generation the generation
   * @param tokensPerMs prompt reading speed of engines, in tokens per millisecond
   * @param remainingMs time until the caller's deadline, in milliseconds
   * @param loadable the data centres that can load an adapter
   */
  Choice forGeneration(
      List<Candidate> candidates,
      Generation generation,
      double tokensPerMs,
      long remainingMs,
      Loadable loadable) {
    Choice choice = leastCost(candidates, generation, tokensPerMs, remainingMs, loadable);
    return isTooLate(choice)
        ? earliest(candidates, generation, tokensPerMs, remainingMs, loadable).orElse(choice)
        : choice;
  }

  private static boolean isTooLate(Choice choice) {
    return choice instanceof Choice.Refuse refusal
        && refusal.kind() == ErrorKind.DEADLINE_UNREACHABLE;
  }

  /**
   * Returns the choice whose response begins first; empty if that is too late as well. The least
   * cost may be that of a later response, since it counts the delay of others.
   */
  private static Optional<Choice> earliest(
      List<Candidate> candidates,
      Generation generation,
      double tokensPerMs,
      long remainingMs,
      Loadable loadable) {
    List<Candidate> holders = candidates.stream().filter(Candidate::holds).toList();
    if (!holders.isEmpty()) {
      return holders.stream()
          .min(Comparator.comparingDouble(c -> firstTokenMs(c, generation, tokensPerMs)))
          .filter(c -> firstTokenMs(c, generation, tokensPerMs) <= remainingMs)
          .map(c -> sendOrAwait(c, firstTokenMs(c, generation, tokensPerMs)));
    }
    return candidates.stream()
        .filter(c -> loadable.has(c.dataCentre()))
        .min(
            Comparator.comparingLong(
                c -> expectedMs(c, generation, tokensPerMs) + loadable.queueWaitMs(c)))
        .map(c -> loadOrRefuse(c, loadable, expectedMs(c, generation, tokensPerMs), remainingMs));
  }

  private static Choice sendOrAwait(Candidate holder, double firstTokenMs) {
    return holder.readyInMs() > 0
        ? new Choice.AwaitLoad(holder, holder.readyInMs())
        : new Choice.Send(holder, (long) firstTokenMs);
  }

  private Choice leastCost(
      List<Candidate> candidates,
      Generation generation,
      double tokensPerMs,
      long remainingMs,
      Loadable loadable) {
    Optional<DataCentreId> home = loadable.home(generation);
    ToDoubleFunction<Candidate> loadCost = c -> loadCost(c, home) + loadable.queueWaitMs(c);
    ToDoubleFunction<Candidate> cost = c -> cost(c, generation, tokensPerMs);
    List<Candidate> holders = candidates.stream().filter(Candidate::holds).toList();
    double unreportedMs = uncertainty.prefillMs(holders, tokensPerMs);
    Optional<Candidate> holder =
        cheapest(
            holders,
            c -> cost.applyAsDouble(c) + c.connectionMs() + unreportedMs * uncertainty.draw());
    Optional<Candidate> other =
        candidates.stream()
            .filter(c -> !c.holds() && loadable.has(c.dataCentre()))
            .min(
                Comparator.comparingDouble(c -> cost.applyAsDouble(c) + loadCost.applyAsDouble(c)));
    if (holder.isEmpty()) {
      return other.isEmpty()
          ? noEndpoint()
          : loadOrRefuse(
              other.get(), loadable, expectedMs(other.get(), generation, tokensPerMs), remainingMs);
    }
    double firstTokenMs = firstTokenMs(holder.get(), generation, tokensPerMs);
    boolean otherIsBetter =
        other.isPresent()
            && !loadable.isFull(other.get())
            && cost.applyAsDouble(holder.get())
                > cost.applyAsDouble(other.get())
                    + loadCost.applyAsDouble(other.get())
                    + COPY_GAIN_MS;
    if (otherIsBetter) {
      return new Choice.RequestLoad(
          other.get().dataCentre(), true, false, expectedMs(other.get(), generation, tokensPerMs));
    }
    if (firstTokenMs > remainingMs) {
      return tooLate(firstTokenMs, remainingMs);
    }
    return sendOrAwait(holder.get(), firstTokenMs);
  }

  /** Returns the candidate with the least cost; each cost is drawn once. */
  private static Optional<Candidate> cheapest(
      List<Candidate> candidates, ToDoubleFunction<Candidate> cost) {
    Optional<Candidate> best = Optional.empty();
    double least = Double.MAX_VALUE;
    for (Candidate candidate : candidates) {
      double drawn = cost.applyAsDouble(candidate);
      if (drawn < least) {
        least = drawn;
        best = Optional.of(candidate);
      }
    }
    return best;
  }

  /** Returns the time from the order of a load to the start of the response. */
  private static long expectedMs(Candidate best, Generation generation, double tokensPerMs) {
    return (long) (loadMs(best) + firstTokenMs(best, generation, tokensPerMs));
  }

  private static double loadMs(Candidate candidate) {
    return (double) candidate.loadMs() + ORDER_MS;
  }

  private static double loadCost(Candidate candidate, Optional<DataCentreId> home) {
    double transferMs = candidate.cachesAdapter() ? 0 : TRANSFER_MS;
    boolean away = home.isPresent() && !candidate.dataCentre().equals(home.get());
    return loadMs(candidate) + transferMs + (away ? AWAY_MS : 0);
  }

  private static Choice loadOrRefuse(
      Candidate best, Loadable loadable, long expectedMs, long remainingMs) {
    long withQueueMs = expectedMs + loadable.queueWaitMs(best);
    return withQueueMs > remainingMs
        ? tooLate((double) withQueueMs, remainingMs)
        : new Choice.RequestLoad(best.dataCentre(), false, loadable.isFull(best), expectedMs);
  }

  /**
   * The data centres in which an adapter can be loaded.
   *
   * @param dataCentres the data centres, the nearest first
   * @param queueWaitsMs expected wait for a slot, in milliseconds, in data centres without a free
   *     one. A short wait for an engine that has the adapter cached may be better than a transfer
   *     elsewhere
   * @param plannedHome where the adapter is to be loaded first; empty for its usual home
   */
  public record Loadable(
      List<DataCentreId> dataCentres,
      Map<DataCentreId, Long> queueWaitsMs,
      Optional<DataCentreId> plannedHome) {

    /** Creates one in which each adapter has its usual home. */
    public Loadable(List<DataCentreId> dataCentres, Map<DataCentreId, Long> queueWaitsMs) {
      this(dataCentres, queueWaitsMs, Optional.empty());
    }

    /** Copies the collections. */
    public Loadable {
      dataCentres = List.copyOf(dataCentres);
      queueWaitsMs = Map.copyOf(queueWaitsMs);
    }

    /** Returns the same data centres with another home of the adapter. */
    Loadable withHome(DataCentreId home) {
      return new Loadable(dataCentres, queueWaitsMs, Optional.of(home));
    }

    private Optional<DataCentreId> home(Generation generation) {
      return plannedHome
          .filter(dataCentres::contains)
          .or(
              () ->
                  generation
                      .adapter()
                      .flatMap(name -> RendezvousHash.first(name.toString(), dataCentres)));
    }

    private boolean has(DataCentreId dataCentre) {
      return dataCentres.contains(dataCentre);
    }

    private boolean isFull(Candidate candidate) {
      return queueWaitsMs.containsKey(candidate.dataCentre());
    }

    private long queueWaitMs(Candidate candidate) {
      return queueWaitsMs.getOrDefault(candidate.dataCentre(), 0L);
    }
  }

  /**
   * Chooses for a request to a plain service.
   *
   * @param candidates the endpoints that can serve it
   * @param serviceMs the mean time of a request, in milliseconds
   * @param remainingMs time until the caller's deadline, in milliseconds
   */
  Choice forCall(List<Candidate> candidates, double serviceMs, long remainingMs) {
    double unreported = uncertainty.calls(candidates, serviceMs);
    Optional<Candidate> best =
        cheapest(
            candidates,
            c ->
                atEndpointMs(c, unreported * uncertainty.draw(), serviceMs)
                    + c.crossingMs()
                    + c.connectionMs());
    if (best.isEmpty()) {
      return noEndpoint();
    }
    double expectedMs = callMs(best.get(), 0, serviceMs);
    if (expectedMs > remainingMs) {
      best = cheapest(candidates, c -> callMs(c, 0, serviceMs));
      expectedMs = callMs(best.get(), 0, serviceMs);
    }
    return expectedMs > remainingMs
        ? tooLate(expectedMs, remainingMs)
        : new Choice.Send(best.get(), (long) expectedMs);
  }

  private static double callMs(Candidate candidate, double unreported, double serviceMs) {
    return atEndpointMs(candidate, unreported, serviceMs) + candidate.wayMs();
  }

  private static double atEndpointMs(Candidate candidate, double unreported, double serviceMs) {
    double running = candidate.load().running() + unreported;
    return candidate.slowdown() * callMs(running, candidate.slots(), serviceMs);
  }

  /**
   * Returns the time of a call to an endpoint of average speed, in milliseconds.
   *
   * @param running number of requests that it runs
   * @param slots number of requests that it can run concurrently
   * @param serviceMs the mean time of a request, in milliseconds
   */
  static double callMs(double running, int slots, double serviceMs) {
    double perSlot = (running + 1) / Math.max(1, slots);
    double waitMs = Math.max(0, perSlot - 1) * serviceMs;
    double busyMs = perSlot * serviceMs / 4;
    return serviceMs + waitMs + busyMs;
  }

  /**
   * Returns the time to the start of the response. The load of the adapter and the reading of
   * earlier prompts overlap.
   */
  private static double firstTokenMs(
      Candidate candidate, Generation generation, double tokensPerMs) {
    double prefillMs =
        EngineCost.firstTokenMs(
            candidate.load(), uncachedTokens(candidate, generation), tokensPerMs);
    return candidate.slowdown() * prefillMs
        + overhead(candidate, generation, tokensPerMs)
        + candidate.wayMs();
  }

  private static double cost(Candidate candidate, Generation generation, double tokensPerMs) {
    double engineMs =
        EngineCost.ms(
            candidate.load(),
            uncachedTokens(candidate, generation),
            generation.expectedOutputTokens(),
            tokensPerMs);
    return candidate.slowdown() * engineMs
        + overhead(candidate, generation, tokensPerMs)
        + candidate.crossingMs();
  }

  private static long uncachedTokens(Candidate candidate, Generation generation) {
    return Math.max(0, generation.promptTokens() - candidate.cachedTokens());
  }

  private static double overhead(Candidate candidate, Generation generation, double tokensPerMs) {
    double backlogMs = candidate.load().prefillTokens() / tokensPerMs;
    return Math.max(0, candidate.readyInMs() - backlogMs)
        + (isFull(candidate, generation) ? FULL_MS : 0);
  }

  private static boolean isFull(Candidate candidate, Generation generation) {
    boolean memoryFull =
        candidate.memoryLimit() > 0
            && candidate.load().memoryTokens() + generation.memoryTokens()
                > candidate.memoryLimit() * MEMORY_SHARE;
    return memoryFull || candidate.load().running() >= candidate.slots();
  }

  private static Choice noEndpoint() {
    return new Choice.Refuse(ErrorKind.NO_ENDPOINT, RETRY_AFTER_MS);
  }

  /**
   * Returns a refusal. The caller may retry after the time by which the deadline would be missed.
   */
  private static Choice tooLate(double expectedMs, long remainingMs) {
    long excessMs = (long) (expectedMs - remainingMs);
    return new Choice.Refuse(ErrorKind.DEADLINE_UNREACHABLE, Math.max(RETRY_AFTER_MS, excessMs));
  }
}
