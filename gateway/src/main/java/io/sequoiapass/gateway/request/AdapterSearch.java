package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.process.Choice;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which data centres one request has asked to load its adapter, and their replies.
 *
 * <p>A data centre is first asked for a slot at once. If it has none, it replies with the expected
 * wait; where no other is better, the request is queued there. A data centre that does not keep its
 * estimate is not asked again. Not safe for use by several threads.
 */
final class AdapterSearch {

  /** A data centre that has said nothing for this long is not waited for, in milliseconds. */
  private static final long ANSWER_MS = 800;

  private final Map<DataCentreId, Long> queueWaits = new HashMap<>();
  private final Set<DataCentreId> closed = new HashSet<>();
  private DataCentreId requested;
  private boolean requestedCopy;
  private boolean enqueued;
  private long overdueAt;
  private long retryAfterMs;

  /** Returns the data centres that may still bring the adapter. */
  List<DataCentreId> open(List<DataCentreId> coordinated) {
    return requestedCopy
        ? List.of()
        : coordinated.stream().filter(dataCentre -> !closed.contains(dataCentre)).toList();
  }

  /** Returns the expected wait for a slot at each data centre that had none, in milliseconds. */
  Map<DataCentreId, Long> queueWaits() {
    return queueWaits;
  }

  /**
   * Notes that a data centre is requested.
   *
   * @param load what for
   * @param waitMs how long the request waits there for its turn, in milliseconds; 0 if it does not
   * @param now the time, in milliseconds
   */
  void request(Choice.RequestLoad load, long waitMs, long now) {
    requested = load.dataCentre();
    requestedCopy = load.another();
    enqueued = waitMs > 0;
    overdueAt = now + Math.max(ANSWER_MS, waitMs);
  }

  /** Returns until when the answer is waited for, in milliseconds. */
  long overdueAt() {
    return overdueAt;
  }

  /** Closes the data centre that was asked if its reply is overdue. */
  void closeOverdue(long now) {
    if (requested != null && !requestedCopy && now >= overdueAt) {
      close();
    }
  }

  /** Closes the data centre that was requested. */
  void close() {
    closed.add(requested);
    requested = null;
  }

  /**
   * Notes that the adapter is on its way; what the data centre that was requested says now is old.
   */
  void found() {
    requested = null;
  }

  /**
   * Notes that the request is sent. If it comes back, because its endpoint refused it or was lost,
   * that is a new search, in which all may have changed.
   */
  void sent() {
    requested = null;
    requestedCopy = false;
    queueWaits.clear();
    closed.clear();
  }

  /**
   * Takes in that a data centre has no place.
   *
   * @return false if this request has not requested it
   */
  boolean noRoom(DataCentreId dataCentre, long queueWaitMs) {
    if (!dataCentre.equals(requested)) {
      return false;
    }
    retryAfterMs = retryAfterMs == 0 ? queueWaitMs : Math.min(retryAfterMs, queueWaitMs);
    if (enqueued) {
      close();
    } else {
      queueWaits.put(dataCentre, queueWaitMs);
      requested = null;
    }
    return true;
  }

  /** Takes in that a data centre's coordinator is disconnected; false if it was not requested. */
  boolean lost(DataCentreId dataCentre) {
    if (!dataCentre.equals(requested)) {
      return false;
    }
    close();
    return true;
  }

  /** Returns the shortest expected wait for a slot, in milliseconds; 0 if there was always one. */
  long retryAfterMs() {
    return retryAfterMs;
  }
}
