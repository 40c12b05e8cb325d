package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.request.ErrorKind;

/** What is to be done with a request now. */
public sealed interface Choice {

  /**
   * Send it.
   *
   * @param candidate where to
   * @param expectedMs the expected time until the answer begins, in milliseconds
   */
  record Send(Candidate candidate, long expectedMs) implements Choice {}

  /**
   * Wait until the adapter has arrived.
   *
   * @param candidate where it arrives
   * @param waitMs for how long, in milliseconds
   */
  record AwaitLoad(Candidate candidate, long waitMs) implements Choice {}

  /**
   * Have the adapter loaded.
   *
   * @param dataCentre where
   * @param another whether there is a copy already, at an endpoint that is far behind
   * @param waits whether the data centre had no place, so that the request waits there for its turn
   * @param expectedMs the expected time from the order until the answer begins, in milliseconds
   */
  record RequestLoad(DataCentreId dataCentre, boolean another, boolean waits, long expectedMs)
      implements Choice {}

  /**
   * Refuse it: it has not run.
   *
   * @param kind the reason
   * @param retryAfterMs when the caller may come back, in milliseconds
   */
  record Refuse(ErrorKind kind, long retryAfterMs) implements Choice {}
}
