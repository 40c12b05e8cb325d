package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;

/** Hears what happens to owned endpoints; safe for use by several threads, must not block. */
public interface OwnerObserver {

  /**
   * Called when a load has ended.
   *
   * @param endpoint where
   * @param adapter what was loaded
   * @param tookMs how long it took, in milliseconds
   * @param loaded whether it is loaded now
   */
  void loadEnded(EndpointId endpoint, AdapterVersion adapter, long tookMs, boolean loaded);

  /**
   * Called when an engine can be used.
   *
   * @param endpoint the endpoint
   * @param restarted whether it had been used before and came back empty
   */
  void endpointJoined(EndpointId endpoint, boolean restarted);

  /**
   * Called when an engine does not answer any more.
   *
   * @param endpoint the endpoint
   */
  void endpointUnreachable(EndpointId endpoint);
}
