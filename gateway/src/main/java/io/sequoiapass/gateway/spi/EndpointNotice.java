package io.sequoiapass.gateway.spi;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What an endpoint states about itself in the headers of an answer.
 *
 * @param requestsPerS the requests a second that it accepts from all daemons together; empty if it
 *     names no limit
 * @param restMs how long it accepts no requests from this daemon, in milliseconds; empty if it does
 *     not ask for rest
 * @param rejectionsPerS more rejections for want of room in a second make it fall over; empty if it
 *     does not say so
 * @param leaving whether its process is about to end
 */
public record EndpointNotice(
    OptionalDouble requestsPerS, OptionalLong restMs, OptionalInt rejectionsPerS, boolean leaving) {

  /** States nothing. */
  public static final EndpointNotice NONE =
      new EndpointNotice(OptionalDouble.empty(), OptionalLong.empty(), OptionalInt.empty(), false);
}
