package io.sequoiapass.coordination.connection;

/**
 * Stops work to one endpoint after failures in a row, and lets one request through now and then to
 * see whether it is back.
 *
 * <p>Not safe for use by several threads.
 */
final class Circuit {

  private final HealthSettings settings;
  private int failuresInRow;
  private long openMillis;
  private long openUntil;
  private boolean open;
  private boolean probing;

  Circuit(HealthSettings settings) {
    this.settings = settings;
    this.openMillis = settings.openMillis();
  }

  boolean admits(long nowMillis) {
    return !open || (!probing && nowMillis >= openUntil);
  }

  /** Notes that a request goes out; the first one after an opening is the probe. */
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

  /** Notes that a request ended without telling anything about the endpoint. */
  void withdrawn() {
    probing = false;
  }

  void failed(long nowMillis) {
    failuresInRow++;
    boolean probeFailed = open && probing;
    if (probeFailed) {
      openMillis = Math.min(2 * openMillis, settings.maxOpenMillis());
    }
    // Requests that were under way when it opened fail after it: they tell nothing new and must
    // not lengthen the opening.
    if (probeFailed || (!open && failuresInRow >= settings.failuresToOpen())) {
      open = true;
      probing = false;
      openUntil = nowMillis + openMillis;
    }
  }
}
