package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks how current the coordinators' view of the platform's store is.
 *
 * <p>Coordinators watch the store on behalf of all daemons, which keeps the number of store calls
 * independent of the fleet. Each watch is a billed call that also returns the heartbeats of all
 * endpoints; if every daemon watched, 79 of them would make 116 calls a second. A daemon relies on
 * coordinators while at least two are current, since one alone may be cut off from the store
 * without detecting it; otherwise it watches the store itself. Safe for use by several threads.
 */
final class StoreFreshness {

  /**
   * Required number of current coordinators: a single one may be cut off from the store without
   * having detected it.
   */
  private static final int MIN_COORDINATORS = 2;

  private final Map<DataCentreId, Reported> reports = new HashMap<>();

  private record Reported(LinkMessage.CoordinatorStatus status, long at) {

    private boolean isFresh(Topic topic, long now) {
      LinkMessage.StoreView view = topic.of(status);
      return view.ageMs() >= 0 && view.ageMs() + now - at <= topic.freshMs();
    }
  }

  /** The kinds of objects that a daemon reads from the store. */
  enum Topic {
    /** The operators' configuration. */
    CONFIGURATION(1_700) {
      @Override
      LinkMessage.StoreView of(LinkMessage.CoordinatorStatus status) {
        return status.configuration();
      }
    },
    /** New versions of adapters. */
    RELEASES(3_300) {
      @Override
      LinkMessage.StoreView of(LinkMessage.CoordinatorStatus status) {
        return status.releases();
      }
    },
    /** The list of endpoints. */
    ENDPOINTS(1_600) {
      @Override
      LinkMessage.StoreView of(LinkMessage.CoordinatorStatus status) {
        return status.endpoints();
      }
    };

    private final long freshMs;

    Topic(long freshMs) {
      this.freshMs = freshMs;
    }

    /** Returns the largest age of a coordinator's view that daemons rely on, in milliseconds. */
    long freshMs() {
      return freshMs;
    }

    abstract LinkMessage.StoreView of(LinkMessage.CoordinatorStatus status);
  }

  /** Handles a coordinator's status. */
  synchronized void update(
      DataCentreId dataCentre, LinkMessage.CoordinatorStatus status, long now) {
    if (status.stopping()) {
      reports.remove(dataCentre);
    } else {
      reports.put(dataCentre, new Reported(status, now));
    }
  }

  /** Removes a coordinator whose link has closed. */
  synchronized void lost(DataCentreId dataCentre) {
    reports.remove(dataCentre);
  }

  /**
   * Returns whether enough coordinators have a current view of a topic for a daemon to rely on
   * them.
   */
  synchronized boolean areFresh(Topic topic, long now) {
    return reports.values().stream().filter(one -> one.isFresh(topic, now)).count()
        >= MIN_COORDINATORS;
  }

  /**
   * Returns whether enough coordinators have a current view of a topic for another coordinator to
   * rely on them. Only those of data centres whose names precede its own count, so the first ones
   * always watch, and no two coordinators pause because of each other.
   */
  synchronized boolean areFreshForCoordinator(DataCentreId dataCentre, Topic topic, long now) {
    return reports.entrySet().stream()
            .filter(one -> one.getKey().compareTo(dataCentre) < 0)
            .filter(one -> one.getValue().isFresh(topic, now))
            .count()
        >= MIN_COORDINATORS;
  }

  /** Returns the newest revision of a topic that any coordinator has reported; 0 if none. */
  synchronized long revision(Topic topic) {
    return reports.values().stream()
        .mapToLong(one -> topic.of(one.status()).revision())
        .max()
        .orElse(0);
  }
}
