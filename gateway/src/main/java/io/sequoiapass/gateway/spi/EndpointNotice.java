package io.sequoiapass.gateway.spi;

import java.util.OptionalDouble;

/**
 * What an endpoint states about itself in the headers of an answer.
 *
 * @param requestsPerS the requests a second that it accepts from all daemons together; empty if it
 *     names no limit
 */
public record EndpointNotice(OptionalDouble requestsPerS) {

  /** States nothing. */
  public static final EndpointNotice NONE = new EndpointNotice(OptionalDouble.empty());
}
