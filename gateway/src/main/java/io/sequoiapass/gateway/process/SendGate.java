package io.sequoiapass.gateway.process;

/**
 * Decides whether an endpoint accepts a request of this daemon, by what it has stated about itself.
 * Every sending passes it. Guarded by the lock of an {@link EndpointGroup}.
 */
final class SendGate {

  private final PermitSource permits;

  SendGate(PermitSource permits) {
    this.permits = permits;
  }

  /** Returns whether a request may be sent now. */
  boolean maySend(EndpointState state, long now) {
    if (!state.takesWork(now) || state.isResting(now)) {
      return false;
    }
    if (!state.permits.isLimited()) {
      return true;
    }
    boolean connected = permits.isConnected(state.entry.dataCentre());
    state.permits.coordinated(connected, permits.daemons(), now);
    return state.permits.mayTake(now);
  }

  /** Asks for a permit unless one was asked for just before; returns whether it did. */
  boolean askForPermit(EndpointState state, long usefulMs, long now) {
    if (!state.permits.shouldAsk(now)) {
      return false;
    }
    state.permits.asked(now);
    double perS = state.permits.limit().orElseThrow();
    permits.ask(state.entry.dataCentre(), state.entry.endpoint(), perS, usefulMs);
    return true;
  }
}
