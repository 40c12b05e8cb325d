package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which daemons have requests that wait for an adapter, so that they hear of it at once.
 * Not safe for use by several threads.
 */
final class Askers {

  /** Callers wait for some seconds at the most before they leave. */
  private static final long REMEMBERED_MS = 6_000;

  private final Map<AdapterName, Asked> asked = new HashMap<>();

  private static final class Asked {
    private final Set<FrameChannel> daemons = new HashSet<>();
    private long lastAt;
  }

  /** Notes that a daemon waits for an adapter. */
  void asked(AdapterName adapter, FrameChannel daemon, long now) {
    Asked known = asked.computeIfAbsent(adapter, any -> new Asked());
    known.daemons.add(daemon);
    known.lastAt = now;
  }

  /** Returns the daemons that wait for an adapter. */
  Set<FrameChannel> of(AdapterName adapter) {
    Asked known = asked.get(adapter);
    return known == null ? Set.of() : known.daemons;
  }

  /** Forgets a daemon whose link has closed. */
  void left(FrameChannel daemon) {
    asked.values().forEach(known -> known.daemons.remove(daemon));
  }

  /** Forgets those that have waited for too long. */
  void forget(long now) {
    asked.values().removeIf(known -> now - known.lastAt > REMEMBERED_MS);
  }
}
