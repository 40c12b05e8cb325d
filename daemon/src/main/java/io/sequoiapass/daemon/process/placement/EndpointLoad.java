package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import java.util.Objects;
import java.util.Set;

/**
 * Load hint for entries: how busy an endpoint is by its owner's count. It may be out of date by the
 * time it is read.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param streams requests that run on it
 * @param queued requests that are queued at its owner and were routed to it
 * @param maxStreams streams that it can run at the same time
 * @param adapters adapters that it holds, loads, or will load for queued requests
 * @param hot adapters in such demand that their requests should share an endpoint
 * @param price demand of the adapter that its next load evicts, in hundredths of a request; 0 with
 *     a free slot
 */
public record EndpointLoad(
    EndpointId endpoint,
    int streams,
    int queued,
    int maxStreams,
    Set<AdapterVersion> adapters,
    Set<AdapterVersion> hot,
    int price) {

  /** Price of an endpoint on which every slot is in use. */
  public static final int NOTHING_TO_EVICT = Integer.MAX_VALUE;

  /** Creates a hint without hot adapters, at price 0. */
  public EndpointLoad(
      EndpointId endpoint, int streams, int queued, int maxStreams, Set<AdapterVersion> adapters) {
    this(endpoint, streams, queued, maxStreams, adapters, Set.of(), 0);
  }

  /** Validates the components and copies the sets. */
  public EndpointLoad {
    Objects.requireNonNull(endpoint, "endpoint");
    adapters = Set.copyOf(adapters);
    hot = Set.copyOf(hot);
    if (streams < 0 || queued < 0 || maxStreams < 1 || price < 0) {
      throw new IllegalArgumentException(
          "streams "
              + streams
              + ", queued "
              + queued
              + ", maxStreams "
              + maxStreams
              + ", price "
              + price);
    }
  }
}
