package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.connection.EndpointPermits;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

/**
 * Adapts the choice for a request to the permits that some endpoints need.
 *
 * <p>Guarded by the lock of an {@link EndpointGroup}.
 */
final class PermitChoice {

  /** Largest number of endpoints from which one request asks for a permit. */
  private static final int MAX_ASKS = 4;

  private final Map<EndpointId, EndpointState> endpoints;
  private final SendGate gate;
  private final DoubleSupplier usualMs;

  /**
   * Creates it for a group.
   *
   * @param endpoints the group's endpoints
   * @param gate whether requests may be sent
   * @param usualMs how long a request usually takes a slot, in milliseconds
   */
  PermitChoice(Map<EndpointId, EndpointState> endpoints, SendGate gate, DoubleSupplier usualMs) {
    this.endpoints = endpoints;
    this.gate = gate;
    this.usualMs = usualMs;
  }

  /**
   * Returns what to do with a request. If the best endpoint lacks a permit, one is asked for, and
   * the request uses another endpoint or waits.
   *
   * @param best the choice among all candidates
   * @param candidates the candidates
   * @param demand the request
   * @param choose returns the choice among some candidates
   * @param now the time, in milliseconds
   */
  Choice adapt(
      Choice best,
      List<Candidate> candidates,
      Demand demand,
      Function<List<Candidate>, Choice> choose,
      long now) {
    if (endpoints.values().stream().noneMatch(state -> state.permits.isLimited())) {
      return best;
    }
    List<Candidate> permitted = permitted(candidates, now);
    if (permitted.size() == candidates.size()) {
      return best;
    }
    if (!(best instanceof Choice.Send send)) {
      return permitted.isEmpty() ? best : choose.apply(permitted);
    }
    if (permitted.contains(send.candidate())) {
      return best;
    }
    EndpointState state = endpoints.get(send.candidate().endpoint());
    if (state.room.isBrittle() && gate.isCoordinated(state)) {
      return useOrAwaitPermit(send, permitted, demand, choose, now);
    }
    if (permitted.isEmpty()) {
      return await(candidates, demand, send.expectedMs(), now);
    }
    gate.askForPermit(state, EndpointPermits.VALID_MS, usualMs.getAsDouble(), now);
    return choose.apply(permitted);
  }

  /** Returns the endpoints that a request may be sent to now. */
  private List<Candidate> permitted(List<Candidate> candidates, long now) {
    return candidates.stream()
        .filter(candidate -> gate.maySend(endpoints.get(candidate.endpoint()), now))
        .toList();
  }

  /**
   * Uses a permit for another endpoint that can serve the request, or waits for one for the best.
   * The endpoints of a service are brittle together, so a load elsewhere would need a permit, too.
   */
  private Choice useOrAwaitPermit(
      Choice.Send best,
      List<Candidate> permitted,
      Demand demand,
      Function<List<Candidate>, Choice> choose,
      long now) {
    List<Candidate> ready = permitted.stream().filter(c -> c.readyInMs() == 0).toList();
    Choice other = choose.apply(ready);
    return other instanceof Choice.Send
        ? other
        : await(List.of(best.candidate()), demand, best.expectedMs(), now);
  }

  private Choice await(List<Candidate> candidates, Demand demand, long responseMs, long now) {
    long usefulMs = Math.max(0, demand.remainingMs() - responseMs);
    long waitMs = Long.MAX_VALUE;
    double perMs = 0;
    int asked = 0;
    for (Candidate candidate : candidates) {
      if (candidate.holds()) {
        EndpointState state = endpoints.get(candidate.endpoint());
        waitMs = Math.min(waitMs, state.permits.waitMs(now));
        perMs += 1.0 / state.permits.gapMs();
        boolean asks =
            asked < MAX_ASKS && gate.askForPermit(state, usefulMs, usualMs.getAsDouble(), now);
        asked += asks ? 1 : 0;
      }
    }
    return new Choice.AwaitEndpoint(waitMs, (long) Math.ceil(1 / perMs), responseMs);
  }
}
