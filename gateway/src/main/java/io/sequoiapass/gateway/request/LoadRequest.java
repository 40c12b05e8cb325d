package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import java.util.Set;

/**
 * A request's request for its adapter at an engine.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param generation what is to be generated with it
 * @param another whether a further copy is wanted although there is one
 * @param inTimeMs how long the load may be put off for an answer in time, in milliseconds
 * @param waitMs how long the request would wait for a place, in milliseconds; 0 if it would not
 * @param excluded endpoints that the request cannot use, even if they hold the adapter
 */
public record LoadRequest(
    Generation generation, boolean another, long inTimeMs, long waitMs, Set<EndpointId> excluded) {

  /** Copies the excluded endpoints. */
  public LoadRequest {
    excluded = Set.copyOf(excluded);
  }
}
