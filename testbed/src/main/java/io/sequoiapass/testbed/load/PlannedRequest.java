package io.sequoiapass.testbed.load;

import java.util.Optional;

/**
 * A request that the load tool is to send.
 *
 * @param id the caller's request id
 * @param atMicros send time, in microseconds from the start of the load
 * @param adapter the requested adapter; empty for a call of the plain service
 * @param version the requested version; empty for the current one
 * @param maxTokens number of tokens requested
 * @param priority value of the priority header
 * @param repeatable whether it may run twice
 * @param keyed whether it carries an idempotency key, which equals its id
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

  /** Creates a request that carries an idempotency key if it must not run twice. */
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

  /** Returns a copy without an idempotency key. */
  public PlannedRequest withoutKey() {
    return new PlannedRequest(
        id, atMicros, adapter, version, maxTokens, priority, repeatable, false);
  }

  /** Returns the model name for the daemons: the adapter, with the version if one is requested. */
  public String model() {
    return adapter.orElseThrow() + version.map(named -> "@" + named).orElse("");
  }
}
