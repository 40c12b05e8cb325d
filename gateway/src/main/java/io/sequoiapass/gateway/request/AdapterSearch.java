package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.EndpointChooser;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the data centres from which one request has requested a load of its adapter, and their
 * replies.
 *
 * <p>The first request to a data centre asks for an immediate slot. If none is free, the data
 * centre replies with the expected wait; if no other data centre is better, the request is queued
 * there. A data centre that exceeds its estimate is excluded. Not safe for use by several threads.
 */
final class AdapterSearch {

  /** Timeout for the reply of a data centre, in milliseconds. */
  private static final long REPLY_TIMEOUT_MS = 800;

  private final Map<DataCentreId, Long> queueWaits = new HashMap<>();
  private final Set<DataCentreId> excluded = new HashSet<>();
  private DataCentreId requested;
  private DataCentreId lostQueue;
  private boolean requestedCopy;
  private boolean enqueued;
  private QueuePlace place = QueuePlace.NONE;
  private long overdueAt;
  private long retryAfterMs;

  /**
   * Returns the data centres that may still load the adapter; none while a further copy is
   * requested.
   */
  List<DataCentreId> candidates(List<DataCentreId> coordinated) {
    return requestedCopy
        ? List.of()
        : coordinated.stream().filter(dataCentre -> !excluded.contains(dataCentre)).toList();
  }

  /**
   * Returns the expected wait for a slot at each data centre without a free slot, in milliseconds.
   */
  Map<DataCentreId, Long> queueWaits() {
    return queueWaits;
  }

  /** Returns the data centres in which the adapter may be loaded, with their expected waits. */
  EndpointChooser.Loadable loadable(RelayContext.AdapterSource adapters) {
    return new EndpointChooser.Loadable(candidates(adapters.loadable()), queueWaits);
  }

  /**
   * Records that a load is requested.
   *
   * @param load the load
   * @param waitMs how long the request is queued for a slot, in milliseconds; 0 if it is not queued
   * @param now the time, in milliseconds
   */
  void request(Choice.RequestLoad load, long waitMs, long now) {
    requested = load.dataCentre();
    lostQueue = null;
    requestedCopy = load.another();
    enqueued = waitMs > 0;
    overdueAt = now + Math.max(REPLY_TIMEOUT_MS, waitMs);
  }

  /**
   * Requests a load; an earlier place in a queue ends.
   *
   * @return false if it is too late or the data centre has no connected coordinator
   */
  boolean send(
      RelayContext.AdapterSource adapters,
      Choice.RequestLoad load,
      LoadRequest loadRequest,
      long now) {
    request(load, loadRequest.waitMs(), now);
    boolean isTooLate = load.waits() && loadRequest.waitMs() == 0;
    Optional<QueuePlace> newPlace =
        isTooLate ? Optional.empty() : adapters.requestLoad(load.dataCentre(), loadRequest);
    place.release();
    place = newPlace.orElse(QueuePlace.NONE);
    return newPlace.isPresent();
  }

  /** Returns when the reply is overdue, in milliseconds. */
  long overdueAt() {
    return overdueAt;
  }

  /** Excludes the requested data centre if its reply is overdue. */
  void excludeOverdue(long now) {
    if (requested != null && !requestedCopy && now >= overdueAt) {
      exclude();
    }
  }

  /** Excludes the requested data centre. */
  void exclude() {
    excluded.add(requested);
    requested = null;
    end();
  }

  /**
   * Ends the pending load request because the adapter is held or loading; a later reply is ignored.
   */
  void loadFound() {
    requested = null;
    settled();
  }

  /** Ends the search of a request that does not wait any more. */
  void end() {
    place.release();
    place = QueuePlace.NONE;
  }

  private void settled() {
    place.settled();
    place = QueuePlace.NONE;
  }

  /** Clears the search when the request is sent to an endpoint that holds the adapter. */
  void copyFound() {
    settled();
    reset();
  }

  /**
   * Clears the search when the request is sent. If the receiver rejects it or fails, a new search
   * starts, since the earlier replies may be out of date.
   */
  void reset() {
    requested = null;
    requestedCopy = false;
    queueWaits.clear();
    excluded.clear();
    end();
  }

  /**
   * Records that a data centre has no free slot.
   *
   * @return false if no load is requested there
   */
  boolean loadRejected(DataCentreId dataCentre, long queueWaitMs) {
    if (!dataCentre.equals(requested)) {
      return false;
    }
    retryAfterMs = retryAfterMs == 0 ? queueWaitMs : Math.min(retryAfterMs, queueWaitMs);
    if (enqueued) {
      settled();
      exclude();
    } else {
      queueWaits.put(dataCentre, queueWaitMs);
      requested = null;
    }
    return true;
  }

  /**
   * Records that a data centre's coordinator is disconnected; returns false if no load is requested
   * there.
   */
  boolean coordinatorLost(DataCentreId dataCentre) {
    if (!dataCentre.equals(requested)) {
      return false;
    }
    lostQueue = enqueued ? dataCentre : null;
    settled();
    exclude();
    return true;
  }

  /**
   * Returns whether a request whose queue was lost with a coordinator waits for the next one
   * instead of being refused; that data centre is a candidate again once it is connected.
   *
   * @param refusal why the request would be refused
   * @param inTime whether it can still be served in time
   */
  boolean asksAnew(Choice.Refuse refusal, boolean inTime) {
    if (lostQueue == null || !inTime || refusal.kind() != ErrorKind.NO_ENDPOINT) {
      return false;
    }
    excluded.remove(lostQueue);
    return true;
  }

  /** Replaces NO_ENDPOINT if a data centre was full, since OVERLOADED is more specific. */
  Choice.Refuse preferOverloaded(Choice.Refuse refusal) {
    return refusal.kind() == ErrorKind.NO_ENDPOINT && retryAfterMs > 0
        ? new Choice.Refuse(ErrorKind.OVERLOADED, retryAfterMs)
        : refusal;
  }
}
