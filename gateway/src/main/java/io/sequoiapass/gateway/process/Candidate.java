package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;

/**
 * One endpoint as the choice for a request sees it, at one moment.
 *
 * @param endpoint its name
 * @param dataCentre where it runs
 * @param near whether it runs in this daemon's data centre
 * @param slots requests that it runs at once
 * @param load what is known to be there, the requests of other daemons included
 * @param memoryLimit memory for running requests and kept prompts, in tokens; 0 if unknown
 * @param cachedTokens leading tokens of this request's prompt that are likely to be kept there
 * @param readyInMs when the wanted adapter is there, in milliseconds; 0 if it is, negative if it is
 *     not on its way
 * @param cachesAdapter whether it held the adapter lately and is likely to have kept it in memory
 * @param slowdown how many times as long as the others it takes
 * @param loadMs how long a load of the adapter would take, in milliseconds
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
    long loadMs) {

  boolean holds() {
    return readyInMs >= 0;
  }
}
