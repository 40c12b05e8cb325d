package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;

/**
 * The state of one endpoint at one moment, as input of the choice for a request.
 *
 * @param endpoint its name
 * @param dataCentre where it runs
 * @param near whether it runs in this daemon's data centre
 * @param slots number of requests that it runs concurrently
 * @param load its known load, including requests of other daemons
 * @param memoryLimit memory for running requests and cached prompts, in tokens; 0 if unknown
 * @param cachedTokens leading tokens of this request's prompt that are likely to be cached there
 * @param readyInMs time until the adapter is loaded, in milliseconds; 0 if it is held, negative if
 *     it is neither held nor loading
 * @param cachesAdapter whether it held the adapter recently and is likely to have cached it in
 *     memory
 * @param slowdown its response time relative to the other endpoints
 * @param loadMs expected time of a load of the adapter, in milliseconds
 * @param connectionMs what a new connection to it counts against it, in milliseconds; 0 if an open
 *     one can be used
 * @param crossingMs what the way to its data centre counts against it, in milliseconds
 */
public record Candidate(
    EndpointId endpoint,
    DataCentreId dataCentre,
    boolean near,
    int slots,
    Load load,
    long memoryLimit,
    long cachedTokens,
    long readyInMs,
    boolean cachesAdapter,
    double slowdown,
    long loadMs,
    double connectionMs,
    double crossingMs) {

  /** Penalty for another data centre, in milliseconds: the round trip and the transferred bytes. */
  static final double CROSSING_MS = 6;

  /** Creates a candidate whose crossing counts as usual. */
  public Candidate(
      EndpointId endpoint,
      DataCentreId dataCentre,
      boolean near,
      int slots,
      Load load,
      long memoryLimit,
      long cachedTokens,
      long readyInMs,
      boolean cachesAdapter,
      double slowdown,
      long loadMs,
      double connectionMs) {
    this(
        endpoint,
        dataCentre,
        near,
        slots,
        load,
        memoryLimit,
        cachedTokens,
        readyInMs,
        cachesAdapter,
        slowdown,
        loadMs,
        connectionMs,
        near ? 0 : CROSSING_MS);
  }

  /** Returns the same candidate with another weight of the crossing, in milliseconds. */
  Candidate withCrossing(double newCrossingMs) {
    return new Candidate(
        endpoint,
        dataCentre,
        near,
        slots,
        load,
        memoryLimit,
        cachedTokens,
        readyInMs,
        cachesAdapter,
        slowdown,
        loadMs,
        connectionMs,
        newCrossingMs);
  }

  /** Returns the time of the way to its data centre, in milliseconds. */
  double wayMs() {
    return near ? 0 : CROSSING_MS;
  }

  boolean holds() {
    return readyInMs >= 0;
  }
}
