package io.sequoiapass.testbed.load;

import java.util.Optional;

/**
 * Is one request that the load tool will send.
 *
 * @param id the caller's id of it
 * @param atMicros when to send it, from the start of the load, in microseconds
 * @param adapter the adapter it names; empty for a call of the plain service
 * @param version the version it names, if it names one
 * @param maxTokens tokens asked for
 * @param priority its priority
 * @param repeatable whether it may run twice
 * @param keyed whether it carries an idempotency key, its id
 */
public record PlannedRequest(
    String id,
    long atMicros,
    Optional<String> adapter,
    Optional<String> version,
    int maxTokens,
    String priority,
    boolean repeatable,
    boolean keyed) {

  /** Makes a request that carries a key if it may not run twice; the parameters are as above. */
  public PlannedRequest(
      String id,
      long atMicros,
      Optional<String> adapter,
      Optional<String> version,
      int maxTokens,
      String priority,
      boolean repeatable) {
    this(id, atMicros, adapter, version, maxTokens, priority, repeatable, !repeatable);
  }

  /** Returns the same request without a key. */
  public PlannedRequest withoutKey() {
    return new PlannedRequest(
        id, atMicros, adapter, version, maxTokens, priority, repeatable, false);
  }

  /** Returns the adapter as the caller names it to the daemons. */
  public String model() {
    return adapter.orElseThrow() + version.map(named -> "@" + named).orElse("");
  }
}
