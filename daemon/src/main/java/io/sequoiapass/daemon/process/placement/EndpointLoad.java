package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import java.util.Objects;
import java.util.Set;

/**
 * Tells an entry how busy an endpoint is, by its owner's own count; old by the time it is read.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param streams requests that run on it
 * @param queued requests that wait at its owner and were routed to it
 * @param maxStreams streams that it runs at once
 * @param adapters what it holds, loads, or will load for requests that wait
 * @param hot those that are asked for so often that they should share an endpoint
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

  /** Creates a hint that calls no adapter hot. */
  public EndpointLoad(
      EndpointId endpoint, int streams, int queued, int maxStreams, Set<AdapterVersion> adapters) {
    this(endpoint, streams, queued, maxStreams, adapters, Set.of(), 0);
  }

  /** Checks the parts and copies the sets. */
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
