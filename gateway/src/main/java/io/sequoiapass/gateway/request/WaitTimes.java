package io.sequoiapass.gateway.request;

import java.util.EnumMap;
import java.util.Map;

/**
 * Adds up how long a request has waited for what; used under the request's lock.
 *
 * <p>Not safe for use by several threads.
 */
final class WaitTimes {

  /** What a request waits for. */
  enum Kind {
    /** A place for its adapter at an engine, and the order to load it. */
    PLACE,
    /** Its adapter, which is on its way. */
    LOAD
  }

  private final Map<Kind, Long> times = new EnumMap<>(Kind.class);
  private Kind current;
  private long since;

  /** Begins to wait. */
  void begin(Kind kind, long now) {
    end(now);
    current = kind;
    since = now;
  }

  /** Ends waiting, if it does wait. */
  void end(long now) {
    if (current != null) {
      times.merge(current, now - since, Long::sum);
      current = null;
    }
  }

  /** Returns how long it has waited, in milliseconds. */
  long of(Kind kind) {
    return times.getOrDefault(kind, 0L);
  }
}
