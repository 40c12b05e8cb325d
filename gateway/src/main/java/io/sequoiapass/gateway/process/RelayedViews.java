package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.HashMap;
import java.util.Map;

/**
 * Knows how well the coordinators know the platform's store, so that a daemon need not ask it.
 *
 * <p>Every watch of a daemon is a call that is paid for, and brings every heartbeat of every
 * endpoint: at 79 daemons 116 calls a second. Coordinators watch for all, and of these only the
 * first where more than two data centres have one. A daemon relies on them only while two of them
 * have heard the store lately, since one alone may be cut off from it silently; else it watches for
 * itself. Safe for use by several threads.
 */
final class RelayedViews {

  /** Coordinators that have to know the store: one may be cut off and not know it yet. */
  private static final int WITNESSES = 2;

  private final Map<DataCentreId, Heard> heard = new HashMap<>();

  private record Heard(LinkMessage.Standing standing, long at) {

    private boolean isFresh(Topic topic, long now) {
      LinkMessage.StoreView view = topic.of(standing);
      return view.ageMs() >= 0 && view.ageMs() + now - at <= topic.freshMs();
    }
  }

  /** Names what a daemon takes from the store. */
  enum Topic {
    /** The operators' configuration. */
    CONFIGURATION(1_700) {
      @Override
      LinkMessage.StoreView of(LinkMessage.Standing standing) {
        return standing.configuration();
      }
    },
    /** New versions of adapters. */
    RELEASES(3_300) {
      @Override
      LinkMessage.StoreView of(LinkMessage.Standing standing) {
        return standing.releases();
      }
    },
    /** The list of endpoints. */
    ENDPOINTS(1_600) {
      @Override
      LinkMessage.StoreView of(LinkMessage.Standing standing) {
        return standing.endpoints();
      }
    };

    private final long freshMs;

    Topic(long freshMs) {
      this.freshMs = freshMs;
    }

    /**
     * How old a coordinator's knowledge may be to be relied on, in milliseconds: what a daemon uses
     * has to be in force within two seconds, releases within five. It is the time from one answer
     * of the store to the next, and two tellings.
     */
    long freshMs() {
      return freshMs;
    }

    abstract LinkMessage.StoreView of(LinkMessage.Standing standing);
  }

  /** Takes in what a coordinator tells. */
  synchronized void heard(DataCentreId dataCentre, LinkMessage.Standing standing, long now) {
    if (standing.stopping()) {
      heard.remove(dataCentre);
    } else {
      heard.put(dataCentre, new Heard(standing, now));
    }
  }

  /** Forgets a coordinator whose link has closed. */
  synchronized void lost(DataCentreId dataCentre) {
    heard.remove(dataCentre);
  }

  /** Returns whether enough coordinators know a topic well for a daemon to rely on them. */
  synchronized boolean areFresh(Topic topic, long now) {
    return heard.values().stream().filter(one -> one.isFresh(topic, now)).count() >= WITNESSES;
  }

  /**
   * Returns whether enough coordinators know a topic well for another coordinator to rely on them:
   * those of data centres whose names come before its own. So the first ones always watch, and two
   * never rest because of each other.
   */
  synchronized boolean areFreshBefore(DataCentreId coordinators, Topic topic, long now) {
    return heard.entrySet().stream()
            .filter(one -> one.getKey().compareTo(coordinators) < 0)
            .filter(one -> one.getValue().isFresh(topic, now))
            .count()
        >= WITNESSES;
  }

  /** Returns the newest revision of a topic that any coordinator knows; 0 if none. */
  synchronized long revision(Topic topic) {
    return heard.values().stream()
        .mapToLong(one -> topic.of(one.standing()).revision())
        .max()
        .orElse(0);
  }
}
