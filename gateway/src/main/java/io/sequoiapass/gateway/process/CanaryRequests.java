package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.Map;

/**
 * Sends one request first where an adapter is expected to be loaded by now; the others wait until
 * it has not been rejected.
 *
 * <p>The arrival of an adapter is an estimate. If it is too early, an engine rejects all requests
 * that waited for it, each of which counts as a retry, and the shared retry budget is used up while
 * many adapters are loaded: after a start, a burst, or the loss of engines. Guarded by the lock of
 * an {@link EndpointGroup}.
 */
final class CanaryRequests {

  /** Time within which a rejection for an absent adapter arrives, in milliseconds. */
  static final long REJECTION_MS = 15;

  private final Map<AdapterName, Canary> canaries = new HashMap<>();

  private record Canary(long readyAt, long sentAt) {}

  /**
   * Returns how long a request has to wait for the outcome of an earlier one, in milliseconds; 0 if
   * it may be sent.
   *
   * @param adapter the adapter
   * @param copy the copy, which is expected to be loaded
   * @param now the time, in milliseconds
   */
  long waitMs(AdapterName adapter, EndpointState.Copy copy, long now) {
    Canary canary = canaries.get(adapter);
    return canary == null || canary.readyAt != copy.readyAt()
        ? 0
        : Math.max(0, canary.sentAt + REJECTION_MS - now);
  }

  /** Records that a request is sent to a copy; the first one after its expected arrival counts. */
  void sent(AdapterName adapter, EndpointState.Copy copy, long now) {
    Canary canary = canaries.get(adapter);
    if (copy.loading() && (canary == null || canary.readyAt != copy.readyAt())) {
      canaries.put(adapter, new Canary(copy.readyAt(), now));
    }
  }

  /** Forgets an adapter that the engine does not hold any more. */
  void remove(AdapterName adapter) {
    canaries.remove(adapter);
  }

  /** Forgets all adapters. */
  void clear() {
    canaries.clear();
  }
}
