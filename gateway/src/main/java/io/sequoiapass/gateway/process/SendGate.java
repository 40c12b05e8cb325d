package io.sequoiapass.gateway.process;

/**
 * Decides whether an endpoint accepts a caller's request from this daemon, by what the endpoint has
 * stated about itself: that it leaves, rests, or accepts only so many requests.
 *
 * <p>Every request passes it, since it is checked when the {@link EndpointTicket} is issued,
 * without which nothing is sent. Orders and reports of a coordinator do not. Guarded by the lock of
 * an {@link EndpointGroup}.
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

  /** Returns whether a coordinator grants permits for an endpoint. */
  boolean isCoordinated(EndpointState state) {
    return permits.isConnected(state.entry.dataCentre());
  }

  /**
   * Asks for a permit unless one was asked for just before; returns whether it did.
   *
   * @param state the endpoint, which must be limited
   * @param usefulMs how long the request can wait for the permit, in milliseconds
   * @param usualMs how long a request usually takes a slot, in milliseconds
   * @param now the time, in milliseconds
   */
  boolean askForPermit(EndpointState state, long usefulMs, double usualMs, long now) {
    if (!state.permits.shouldAsk(now)) {
      return false;
    }
    state.permits.asked(now);
    double perS =
        state.room.isBrittle()
            ? Math.min(
                state.namedLimit.orElse(Double.MAX_VALUE),
                state.room.requestsPerS(state.entry.slots(), usualMs, now))
            : state.permits.limit().orElseThrow();
    int mostAtOnce =
        state.room.isBrittle() ? state.room.burst(state.entry.slots()) : Integer.MAX_VALUE;
    permits.ask(state.entry.dataCentre(), state.entry.endpoint(), perS, mostAtOnce, usefulMs);
    return true;
  }
}
