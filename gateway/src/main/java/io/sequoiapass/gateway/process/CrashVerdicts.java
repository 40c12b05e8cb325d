package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which parts of prompts crash endpoints, from the requests that were just beginning at
 * endpoints whose processes ended.
 *
 * <pre>{@code
 * verdicts.crashed(endpoint, request, uncleared, now);
 * verdicts.cleared(parts, now);            // an endpoint has written an answer on them
 * Set<PartKey> refused = verdicts.convicted(now);
 * }</pre>
 *
 * <p>A part that crashes endpoints does so always, so one answer written on it clears it. One
 * request alone, however often it is repeated, convicts none of its parts: sound requests that run
 * beside a crashing one are repeated together with it. Not safe for use by several threads.
 */
final class CrashVerdicts {

  /** Endpoint processes that have to end under a part, if three or more requests had it. */
  private static final int MIN_PROCESSES = 3;

  /** The same if only two requests had it. */
  private static final int MIN_PROCESSES_OF_TWO = 4;

  /**
   * How long a suspicion is known before a verdict, in milliseconds: the time in which daemons that
   * have an answer written on the part say so.
   */
  static final long CLEARING_MS = 1_000;

  /** How long a suspicion is kept after its last crash, in milliseconds. */
  private static final long SUSPICION_MS = 120_000;

  /** How long a part is refused after the last crash under it, in milliseconds. */
  static final long VERDICT_MS = 600_000;

  /** How long a cleared part is not suspected, in milliseconds. */
  private static final long CLEARED_MS = 60_000;

  /** Largest number of parts of each kind; the least suspicious ones are dropped. */
  static final int MAX_PARTS = 4_096;

  private static final class Evidence {
    private final Set<EndpointId> processes = new HashSet<>();
    private final Set<Long> requests = new HashSet<>();
    private final long since;
    private long lastAt;

    private Evidence(long now) {
      since = now;
    }

    private boolean isEnough() {
      return (processes.size() >= MIN_PROCESSES && requests.size() > 2)
          || (processes.size() >= MIN_PROCESSES_OF_TWO && requests.size() > 1);
    }
  }

  private final Map<PartKey, Evidence> suspected = new HashMap<>();
  private final Map<PartKey, Long> convicted = new LinkedHashMap<>();
  private final Map<PartKey, Long> cleared = new LinkedHashMap<>();

  /**
   * Records that a process ended while it was beginning to write an answer.
   *
   * @param process the endpoint's process
   * @param request stands for the request; the same for each attempt of it
   * @param parts the parts of its prompt that may be the cause
   * @param now the time, in milliseconds
   */
  void crashed(EndpointId process, long request, Collection<PartKey> parts, long now) {
    expire(now);
    for (PartKey part : parts) {
      if (convicted.containsKey(part)) {
        convicted.put(part, now);
      } else if (!cleared.containsKey(part)) {
        if (suspected.size() >= MAX_PARTS) {
          dropLeastSuspicious();
        }
        Evidence evidence = suspected.computeIfAbsent(part, any -> new Evidence(now));
        evidence.processes.add(process);
        evidence.requests.add(request);
        evidence.lastAt = now;
      }
    }
  }

  private void dropLeastSuspicious() {
    suspected.entrySet().stream()
        .min(
            Comparator.comparingInt(
                    (Map.Entry<PartKey, Evidence> entry) -> entry.getValue().processes.size())
                .thenComparingLong(entry -> entry.getValue().lastAt))
        .ifPresent(entry -> suspected.remove(entry.getKey()));
  }

  /** Records that an endpoint has written an answer on parts. */
  void cleared(Collection<PartKey> parts, long now) {
    for (PartKey part : parts) {
      suspected.remove(part);
      convicted.remove(part);
      cleared.remove(part);
      cleared.put(part, now);
    }
    trim(cleared);
  }

  /** Adopts verdicts of another daemon. */
  void adopt(Collection<PartKey> parts, long now) {
    for (PartKey part : parts) {
      if (!cleared.containsKey(part)) {
        convicted.putIfAbsent(part, now);
      }
    }
    trim(convicted);
  }

  private static void trim(Map<PartKey, Long> parts) {
    while (parts.size() > MAX_PARTS) {
      parts.remove(parts.keySet().iterator().next());
    }
  }

  private void expire(long now) {
    suspected.values().removeIf(evidence -> now - evidence.lastAt > SUSPICION_MS);
    convicted.values().removeIf(at -> now - at > VERDICT_MS);
    cleared.values().removeIf(at -> now - at > CLEARED_MS);
  }

  /** Returns the parts that daemons may clear. */
  Set<PartKey> suspected(long now) {
    expire(now);
    return Set.copyOf(suspected.keySet());
  }

  /** Returns the parts that crash endpoints. */
  Set<PartKey> convicted(long now) {
    expire(now);
    List<PartKey> due =
        suspected.entrySet().stream()
            .filter(entry -> entry.getValue().isEnough())
            .filter(entry -> now - entry.getValue().since >= CLEARING_MS)
            .map(Map.Entry::getKey)
            .toList();
    for (PartKey part : due) {
      convicted.put(part, suspected.remove(part).lastAt);
    }
    if (!due.isEmpty()) {
      trim(convicted);
    }
    return Set.copyOf(convicted.keySet());
  }
}
