package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import java.util.Set;

/**
 * Requests a load of an adapter for one waiting request.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param generation the generation that waits for it
 * @param another whether a further copy is requested although one exists
 * @param maxDelayMs the longest delay of the load that still meets the target latency, in
 *     milliseconds
 * @param waitMs how long the request may be queued for a slot, in milliseconds; 0 if it may not
 * @param excluded endpoints that the request cannot use, even if they hold the adapter
 */
public record LoadRequest(
    Generation generation,
    boolean another,
    long maxDelayMs,
    long waitMs,
    Set<EndpointId> excluded) {

  /** Copies the excluded endpoints. */
  public LoadRequest {
    excluded = Set.copyOf(excluded);
  }
}
