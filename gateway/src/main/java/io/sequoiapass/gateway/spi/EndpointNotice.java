package io.sequoiapass.gateway.spi;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What an endpoint states about itself in the headers of an answer.
 *
 * @param requestsPerS the requests a second that it accepts from all daemons together; empty if it
 *     names no limit
 * @param restMs how long it accepts no requests from this daemon, in milliseconds; empty if it does
 *     not ask for rest
 * @param leaving whether its process is about to end
 */
public record EndpointNotice(OptionalDouble requestsPerS, OptionalLong restMs, boolean leaving) {

  /** States nothing. */
  public static final EndpointNotice NONE =
      new EndpointNotice(OptionalDouble.empty(), OptionalLong.empty(), false);
}
