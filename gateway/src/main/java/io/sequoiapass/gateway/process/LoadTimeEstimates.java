package io.sequoiapass.gateway.process;

/**
 * A coordinator's estimates of load times at its engines, for daemons that choose among data
 * centres.
 *
 * @param storeMs time of a load from the weight store that begins now, in milliseconds
 * @param memoryMs time of a load from an engine's own memory, in milliseconds
 * @param cacheDepth how many adapters an engine is assumed to cache in its memory; the largest
 *     value if there are several services
 */
public record LoadTimeEstimates(long storeMs, long memoryMs, int cacheDepth) {

  /** Defaults until a coordinator is connected. */
  static final LoadTimeEstimates FIRST =
      new LoadTimeEstimates(LoadTime.FIRST_STORE_MS, LoadTime.FIRST_MEMORY_MS, 32);
}
