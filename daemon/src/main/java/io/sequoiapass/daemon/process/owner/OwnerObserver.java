package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;

/**
 * Receives events of owned endpoints. Implementations must be safe for use by several threads and
 * must not block.
 */
public interface OwnerObserver {

  /**
   * Called when an attempt is sent to its endpoint.
   *
   * @param id the attempt
   * @param adapter the adapter version that it runs on
   * @param endpoint where it runs
   * @param waitedMs how long it waited at the owner, in milliseconds
   */
  void started(AttemptId id, AdapterVersion adapter, EndpointId endpoint, long waitedMs);

  /**
   * Called when the placement has decided on a load.
   *
   * @param endpoint the endpoint
   * @param adapter the adapter version to load
   * @param evicts whether another adapter is unloaded first
   */
  void loadBegun(EndpointId endpoint, AdapterVersion adapter, boolean evicts);

  /**
   * Called when a load has ended.
   *
   * @param endpoint the endpoint
   * @param adapter the adapter version of the load
   * @param tookMs how long it took, in milliseconds
   * @param loaded whether the load succeeded
   */
  void loadEnded(EndpointId endpoint, AdapterVersion adapter, long tookMs, boolean loaded);

  /**
   * Called when an engine becomes usable.
   *
   * @param endpoint the endpoint
   * @param restarted whether it was usable before and has restarted empty
   */
  void endpointJoined(EndpointId endpoint, boolean restarted);

  /**
   * Called when an engine stops answering.
   *
   * @param endpoint the endpoint
   */
  void endpointUnreachable(EndpointId endpoint);

  /**
   * Called when an attempt is refused because of overload.
   *
   * @param id the attempt
   * @param kind the error that its caller receives
   * @param waitedMs how long it had waited, in milliseconds
   */
  void overloaded(AttemptId id, ErrorKind kind, long waitedMs);
}
