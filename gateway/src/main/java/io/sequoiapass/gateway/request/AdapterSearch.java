package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.process.Choice;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which data centres one request has asked for its adapter, and what they said.
 *
 * <p>A data centre is first asked whether it has a place now. One that has none tells when a turn
 * would come; where no other is better, the request asks it again and waits. One that does not keep
 * that is closed to the request. Not safe for use by several threads.
 */
final class AdapterSearch {

  /** A data centre that has said nothing for this long is not waited for, in milliseconds. */
  private static final long ANSWER_MS = 800;

  private final Map<DataCentreId, Long> turns = new HashMap<>();
  private final Set<DataCentreId> closed = new HashSet<>();
  private DataCentreId asked;
  private boolean askedForCopy;
  private boolean askedToWait;
  private long overdueAt;
  private long comeBackMs;

  /** Returns the data centres that may still bring the adapter. */
  List<DataCentreId> open(List<DataCentreId> coordinated) {
    return askedForCopy
        ? List.of()
        : coordinated.stream().filter(dataCentre -> !closed.contains(dataCentre)).toList();
  }

  /** Returns when a turn would come, in milliseconds, at those that had no place. */
  Map<DataCentreId, Long> turns() {
    return turns;
  }

  /**
   * Notes that a data centre is asked.
   *
   * @param load what for
   * @param waitMs how long the request waits there for its turn, in milliseconds; 0 if it does not
   * @param now the time, in milliseconds
   */
  void ask(Choice.RequestLoad load, long waitMs, long now) {
    asked = load.dataCentre();
    askedForCopy = load.another();
    askedToWait = waitMs > 0;
    overdueAt = now + Math.max(ANSWER_MS, waitMs);
  }

  /** Returns until when the answer is waited for, in milliseconds. */
  long overdueAt() {
    return overdueAt;
  }

  /** Closes the data centre that was asked, if it has not kept its turn or said nothing. */
  void closeOverdue(long now) {
    if (asked != null && !askedForCopy && now >= overdueAt) {
      close();
    }
  }

  /** Closes the data centre that was asked. */
  void close() {
    closed.add(asked);
    asked = null;
  }

  /** Notes that the adapter is on its way; what the data centre that was asked says now is old. */
  void found() {
    asked = null;
  }

  /**
   * Notes that the request is sent. If it comes back, because its endpoint refused it or was lost,
   * that is a new search, in which all may have changed.
   */
  void sent() {
    asked = null;
    askedForCopy = false;
    turns.clear();
    closed.clear();
  }

  /**
   * Takes in that a data centre has no place.
   *
   * @return false if this request has not asked it
   */
  boolean noRoom(DataCentreId dataCentre, long turnMs) {
    if (!dataCentre.equals(asked)) {
      return false;
    }
    comeBackMs = comeBackMs == 0 ? turnMs : Math.min(comeBackMs, turnMs);
    if (askedToWait) {
      close();
    } else {
      turns.put(dataCentre, turnMs);
      asked = null;
    }
    return true;
  }

  /** Takes in that a data centre's coordinator is no longer heard; false if it was not asked. */
  boolean lost(DataCentreId dataCentre) {
    if (!dataCentre.equals(asked)) {
      return false;
    }
    close();
    return true;
  }

  /** Returns when a turn would come at the best of those that had no place; 0 if all had. */
  long comeBackMs() {
    return comeBackMs;
  }
}
