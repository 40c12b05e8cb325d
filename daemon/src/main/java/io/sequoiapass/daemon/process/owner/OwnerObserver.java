package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;

/** Hears what happens to owned endpoints; safe for use by several threads, must not block. */
public interface OwnerObserver {

  /**
   * Called when an attempt is written to its endpoint.
   *
   * @param id the attempt
   * @param adapter what it runs on
   * @param endpoint where it runs
   * @param waitedMs how long it waited at the owner, in milliseconds
   */
  void started(AttemptId id, AdapterVersion adapter, EndpointId endpoint, long waitedMs);

  /**
   * Called when a load has been decided on.
   *
   * @param endpoint where
   * @param adapter what is to be loaded
   * @param evicts whether another adapter is unloaded first
   */
  void loadBegun(EndpointId endpoint, AdapterVersion adapter, boolean evicts);

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

  /**
   * Called when an attempt is refused because more work comes than can be done.
   *
   * @param id the attempt
   * @param kind what its caller is told
   * @param waitedMs how long it had waited, in milliseconds
   */
  void overloaded(AttemptId id, ErrorKind kind, long waitedMs);
}
