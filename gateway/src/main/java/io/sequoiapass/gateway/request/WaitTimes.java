package io.sequoiapass.gateway.request;

import java.util.EnumMap;
import java.util.Map;

/**
 * Sums the time that a request has waited, by reason; used under the request's lock.
 *
 * <p>Not safe for use by several threads.
 */
final class WaitTimes {

  /** The reason of a wait. */
  enum Kind {
    /** A slot for its adapter at an engine, and the order to load it. */
    SLOT,
    /** Its adapter, which is loading. */
    LOAD,
    /** The turn to have its prompt read. */
    TURN
  }

  private final Map<Kind, Long> times = new EnumMap<>(Kind.class);
  private Kind current;
  private long since;

  /** Starts a wait; ends the current one. */
  void begin(Kind kind, long now) {
    end(now);
    current = kind;
    since = now;
  }

  /** Ends the current wait, if there is one. */
  void end(long now) {
    if (current != null) {
      times.merge(current, now - since, Long::sum);
      current = null;
    }
  }

  /** Returns the total time waited for a reason, in milliseconds. */
  long of(Kind kind) {
    return times.getOrDefault(kind, 0L);
  }
}
