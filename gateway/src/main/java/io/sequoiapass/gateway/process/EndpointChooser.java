package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.request.ErrorKind;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses an endpoint for a request by the expected time until its answer begins.
 *
 * <pre>{@code
 * Choice choice = chooser.forGeneration(candidates, 9_190, 38.4, 4_000, loadable);
 * }</pre>
 *
 * <p>It answers the load of a long tail: a fifth of the requests ask for an adapter that is
 * nowhere, and a long prompt costs as much time as a load, so that adapter, kept prompt and backlog
 * have to be weighed in one unit. The unit is milliseconds. Instances hold no state and are safe
 * for use by several threads.
 */
final class EndpointChooser {

  /**
   * What one running request adds to the wait, in milliseconds: its tokens are made in the same
   * steps. A step grows by a hundredth of a millisecond for each request and some more for its
   * context; over the steps of a prefill that comes to about this much.
   */
  private static final double RUNNING_MS = 1.5;

  /**
   * What another data centre costs, in milliseconds: the way there and back, and as much again for
   * the bytes, which are the dearest of all resources.
   */
  private static final double CROSSING_MS = 6;

  /** A load of an adapter, with the order for it, in milliseconds; 250 when the store is calm. */
  private static final double LOAD_MS = 280;

  /**
   * Memory beyond this share makes an engine interrupt requests and read their prompts anew, which
   * costs more than any queue.
   */
  private static final double MEMORY_SHARE = 0.92;

  /** The wait for memory or a slot to become free, in milliseconds: half a usual run. */
  private static final double FULL_MS = 700;

  /** Another copy is worth a load once it saves this much, in milliseconds. */
  private static final double COPY_GAIN_MS = 150;

  /** The least time after which a refused caller may come back, in milliseconds. */
  private static final long COME_BACK_MS = 250;

  /**
   * Chooses for a request to an engine.
   *
   * @param candidates the endpoints that may take it
   * @param promptTokens the length of its prompt
   * @param tokensPerMs how fast engines read prompts
   * @param remainingMs how long the caller waits, in milliseconds
   * @param loadable data centres where an adapter can be ordered, the nearest first
   */
  Choice forGeneration(
      List<Candidate> candidates,
      long promptTokens,
      double tokensPerMs,
      long remainingMs,
      List<DataCentreId> loadable) {
    Comparator<Candidate> soonest =
        Comparator.comparingDouble(c -> expectedMs(c, promptTokens, tokensPerMs));
    Optional<Candidate> holder = candidates.stream().filter(Candidate::holds).min(soonest);
    Optional<Candidate> other =
        candidates.stream()
            .filter(c -> !c.holds() && loadable.contains(c.dataCentre()))
            .min(soonest);
    double otherMs =
        other.map(c -> LOAD_MS + expectedMs(c, promptTokens, tokensPerMs)).orElse(Double.MAX_VALUE);
    if (holder.isEmpty()) {
      return other.isEmpty() ? noEndpoint() : loadOrRefuse(other.get(), otherMs, remainingMs);
    }
    double holderMs = expectedMs(holder.get(), promptTokens, tokensPerMs);
    if (holderMs > remainingMs) {
      return tooLate(holderMs, remainingMs);
    }
    if (holderMs - otherMs > COPY_GAIN_MS) {
      return new Choice.RequestLoad(other.get().dataCentre(), true);
    }
    if (holder.get().readyInMs() > 0) {
      return new Choice.AwaitLoad(holder.get(), holder.get().readyInMs());
    }
    return new Choice.Send(holder.get(), (long) holderMs);
  }

  private static Choice loadOrRefuse(Candidate best, double expectedMs, long remainingMs) {
    return expectedMs > remainingMs
        ? tooLate(expectedMs, remainingMs)
        : new Choice.RequestLoad(best.dataCentre(), false);
  }

  /**
   * Chooses for a request to a plain service.
   *
   * @param candidates the endpoints that may take it
   * @param serviceMs the usual time of a request, in milliseconds
   * @param remainingMs how long the caller waits, in milliseconds
   */
  Choice forCall(List<Candidate> candidates, double serviceMs, long remainingMs) {
    Optional<Candidate> best =
        candidates.stream().min(Comparator.comparingDouble(c -> callMs(c, serviceMs)));
    if (best.isEmpty()) {
      return noEndpoint();
    }
    double expectedMs = callMs(best.get(), serviceMs);
    return expectedMs > remainingMs
        ? tooLate(expectedMs, remainingMs)
        : new Choice.Send(best.get(), (long) expectedMs);
  }

  private static double callMs(Candidate candidate, double serviceMs) {
    double perSlot = (candidate.running() + 1.0) / Math.max(1, candidate.slots());
    double waitMs = Math.max(0, perSlot - 1) * serviceMs;
    double busyMs = perSlot * serviceMs / 4;
    return serviceMs + waitMs + busyMs + (candidate.near() ? 0 : CROSSING_MS);
  }

  private static double expectedMs(Candidate candidate, long promptTokens, double tokensPerMs) {
    double backlogMs = candidate.prefillTokens() / tokensPerMs;
    long unread = Math.max(0, promptTokens - candidate.keptTokens());
    double waitMs = Math.max(backlogMs, (double) Math.max(0, candidate.readyInMs()));
    return waitMs
        + unread / tokensPerMs
        + candidate.running() * RUNNING_MS
        + (isFull(candidate, promptTokens) ? FULL_MS : 0)
        + (candidate.near() ? 0 : CROSSING_MS);
  }

  private static boolean isFull(Candidate candidate, long promptTokens) {
    boolean memoryFull =
        candidate.memoryLimit() > 0
            && candidate.memoryTokens() + promptTokens > candidate.memoryLimit() * MEMORY_SHARE;
    return memoryFull || candidate.running() >= candidate.slots();
  }

  private static Choice noEndpoint() {
    return new Choice.Refuse(ErrorKind.NO_ENDPOINT, COME_BACK_MS);
  }

  /** A caller that comes back once the excess has been worked off finds its turn. */
  private static Choice tooLate(double expectedMs, long remainingMs) {
    long excessMs = (long) (expectedMs - remainingMs);
    return new Choice.Refuse(ErrorKind.DEADLINE_UNREACHABLE, Math.max(COME_BACK_MS, excessMs));
  }
}
