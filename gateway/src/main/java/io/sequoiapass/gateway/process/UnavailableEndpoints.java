package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * Considers endpoints that cannot take a request now, but soon: those that rest, and those whose
 * process has to be verified before a stream continues there. Used under the lock of the endpoints'
 * {@link EndpointGroup}.
 */
final class UnavailableEndpoints {

  /** Time in which an endpoint's process is verified, in milliseconds. */
  private static final long VERIFY_MS = 20;

  private final Collection<EndpointState> endpoints;
  private final CandidateSource candidates;
  private final Consumer<EndpointEntry> verifier;

  /**
   * Creates it.
   *
   * @param endpoints the endpoints of a service, as they are at each call
   * @param candidates which of them can serve a request
   * @param verifier finds out which process an endpoint is; must not block
   */
  UnavailableEndpoints(
      Collection<EndpointState> endpoints,
      CandidateSource candidates,
      Consumer<EndpointEntry> verifier) {
    this.endpoints = endpoints;
    this.candidates = candidates;
    this.verifier = verifier;
  }

  /**
   * Returns whether a verification may let a stream continue: at this endpoint, or anywhere if it
   * is not known yet which version began it.
   */
  private static boolean mayBeVerified(EndpointState state, Demand demand, long now) {
    boolean isWanted =
        demand.software().isPresent()
            && (demand.allows(state.entry.software())
                || demand.software().get().equals(SoftwareVersion.UNSTATED));
    return isWanted && state.doubt.filter(doubt -> doubt.isVerifiable(now)).isPresent();
  }

  /**
   * Replaces a refusal for lack of endpoints: waits for the first that holds the adapter, or names
   * the time at which one is ready.
   *
   * @param refusal the refusal
   * @param demand the request
   * @param responseMs the usual time of a response, in milliseconds
   * @param now the time, in milliseconds
   */
  Choice consider(Choice.Refuse refusal, Demand demand, long responseMs, long now) {
    long readyInMs = Long.MAX_VALUE;
    long holderInMs = Long.MAX_VALUE;
    for (EndpointState state : endpoints) {
      boolean serves = CandidateSource.holdsModel(state, demand) && state.takesWork(now);
      if (serves && mayBeVerified(state, demand, now)) {
        verifier.accept(state.entry);
        holderInMs = Math.min(holderInMs, VERIFY_MS);
      } else if (serves && state.allows(demand) && state.isResting(now)) {
        long restMs = state.restsUntil - now;
        readyInMs = Math.min(readyInMs, restMs);
        holderInMs =
            candidates.readyInMs(state, demand, now) < 0
                ? holderInMs
                : Math.min(holderInMs, restMs);
      }
    }
    if (holderInMs < Long.MAX_VALUE) {
      return new Choice.AwaitEndpoint(holderInMs, 1, responseMs);
    }
    return readyInMs < Long.MAX_VALUE ? new Choice.Refuse(refusal.kind(), readyInMs) : refusal;
  }
}
