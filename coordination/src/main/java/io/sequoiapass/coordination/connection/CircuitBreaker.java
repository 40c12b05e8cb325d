package io.sequoiapass.coordination.connection;

/**
 * CircuitBreaker breaker of one endpoint: opens after consecutive failures, then admits one probe
 * request to test recovery.
 *
 * <p>Not safe for use by several threads.
 */
final class CircuitBreaker {

  private final HealthSettings settings;
  private int failuresInRow;
  private long openMillis;
  private long openUntil;
  private boolean open;
  private boolean probing;

  CircuitBreaker(HealthSettings settings) {
    this.settings = settings;
    this.openMillis = settings.openMillis();
  }

  boolean admits(long nowMillis) {
    return !open || (!probing && nowMillis >= openUntil);
  }

  /** Records that a request is sent; the first one after the open period is the probe. */
  void sent(long nowMillis) {
    if (open && nowMillis >= openUntil) {
      probing = true;
    }
  }

  void succeeded() {
    failuresInRow = 0;
    open = false;
    probing = false;
    openMillis = settings.openMillis();
  }

  /** Records that a request ended without a result that reflects on the endpoint. */
  void withdrawn() {
    probing = false;
  }

  void failed(long nowMillis) {
    failuresInRow++;
    boolean probeFailed = open && probing;
    if (probeFailed) {
      openMillis = Math.min(2 * openMillis, settings.maxOpenMillis());
    }
    // Requests in flight when the circuit opened may fail afterwards; they carry no new information
    // and must not extend the open period.
    if (probeFailed || (!open && failuresInRow >= settings.failuresToOpen())) {
      open = true;
      probing = false;
      openUntil = nowMillis + openMillis;
    }
  }
}
