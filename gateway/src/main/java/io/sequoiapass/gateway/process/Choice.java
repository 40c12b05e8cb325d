package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.request.ErrorKind;

/** The next action for a request. */
public sealed interface Choice {

  /**
   * Returns the expected time until the request is sent, in milliseconds.
   *
   * @param before the number of requests that wait for an endpoint and arrived earlier
   */
  default long delayMs(int before) {
    return 0;
  }

  /**
   * Send the request.
   *
   * @param candidate the endpoint
   * @param expectedMs the expected time to the start of the response, in milliseconds
   */
  record Send(Candidate candidate, long expectedMs) implements Choice {}

  /**
   * Wait until the adapter is loaded.
   *
   * @param candidate the endpoint that loads it
   * @param waitMs for how long, in milliseconds
   */
  record AwaitLoad(Candidate candidate, long waitMs) implements Choice {
    @Override
    public long delayMs(int before) {
      return waitMs;
    }
  }

  /**
   * Wait until an endpoint accepts the request: all that could serve it rest, or accept only so
   * many requests a second.
   *
   * @param waitMs the expected time until one accepts the next request, in milliseconds
   * @param gapMs the expected time between two requests that are accepted, in milliseconds
   * @param responseMs the expected time from the sending to the start of the response, in
   *     milliseconds
   */
  record AwaitEndpoint(long waitMs, long gapMs, long responseMs) implements Choice {

    @Override
    public long delayMs(int before) {
      return waitMs + gapMs * before;
    }
  }

  /**
   * Request a load of the adapter.
   *
   * @param dataCentre the data centre to load it in
   * @param another whether an endpoint with a long backlog holds a copy already
   * @param waits whether the data centre has no free slot, so that the load is queued there
   * @param expectedMs the expected time from the order to the start of the response, in
   *     milliseconds
   */
  record RequestLoad(DataCentreId dataCentre, boolean another, boolean waits, long expectedMs)
      implements Choice {
    @Override
    public long delayMs(int before) {
      return expectedMs;
    }
  }

  /**
   * Refuse the request; it has not run.
   *
   * @param kind the reason
   * @param retryAfterMs when the caller may retry, in milliseconds
   */
  record Refuse(ErrorKind kind, long retryAfterMs) implements Choice {

    /**
     * Returns a refusal with the time of its reason.
     *
     * @param kind the reason, which names a time
     */
    public static Refuse of(ErrorKind kind) {
      return new Refuse(kind, kind.comeBackMillis().orElseThrow());
    }
  }
}
