package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests crash endpoints, and which parts of prompts do, from the requests that
 * endpoints had when their processes ended.
 *
 * <pre>{@code
 * verdicts.crashed(endpoint, request, uncleared, now);
 * verdicts.cleared(parts, now);            // an endpoint has written an answer on them
 * Set<PartKey> refused = verdicts.convicted(now);
 * }</pre>
 *
 * <p>A part that crashes endpoints does so always, so one answer written on it clears it. The part
 * that explains the most crashes is convicted first, and only crashes without a convicted part
 * count for others: sound requests that run beside a crashing one are repeated together with it.
 * One request alone, however often it is repeated, convicts none of its parts, but itself. The
 * verdicts follow from all crashes that are kept, so a better explanation replaces an earlier one.
 * Not safe for use by several threads.
 */
final class CrashVerdicts {

  /** Endpoint processes that have to end under a part, if three or more requests had it. */
  private static final int MIN_PROCESSES = 3;

  /** The same if only two requests had it. */
  private static final int MIN_PROCESSES_OF_TWO = 4;

  /** Endpoint processes that have to end under a request. */
  private static final int MIN_PROCESSES_OF_REQUEST = 3;

  /** Ends under a request for each other end meanwhile; endpoints may end for other reasons. */
  private static final int MIN_SHARE = 3;

  /** Endpoint processes that have to end under a request if more others end meanwhile. */
  private static final int MANY_PROCESSES_OF_REQUEST = 5;

  /** Endpoint processes that have to end under a request until daemons report answers to it. */
  private static final int SUSPECTED_PROCESSES = 2;

  /** How long a request is refused after three ends, in milliseconds; doubles with each other. */
  private static final long REQUEST_VERDICT_MS = 30_000;

  /**
   * How long a suspicion is known before a verdict, in milliseconds: the time in which daemons that
   * have an answer written on the part say so.
   */
  private static final long CLEARING_MS = 1_000;

  /** How long the daemons' reports on one crash are awaited, in milliseconds. */
  private static final long REPORTS_MS = 200;

  /** How long a crash is kept, and so how long a part is refused after the last one. */
  static final long VERDICT_MS = 600_000;

  /** How long a cleared part is not suspected, in milliseconds. */
  private static final long CLEARED_MS = 60_000;

  /** Largest number of parts that are cleared or adopted; the oldest are dropped. */
  static final int MAX_PARTS = 4_096;

  /** Largest number of crashes; the oldest one that no convicted part explains is dropped. */
  static final int MAX_CRASHES = 256;

  /** Largest number of requests of one crash. */
  private static final int MAX_SUSPECTS = 256;

  private static final class Crash {
    private final long at;
    private final Map<PartKey, Set<Long>> requests = new HashMap<>();
    private final Set<PartKey> open = new HashSet<>();
    private int suspects;

    private Crash(long now) {
      at = now;
    }

    private boolean isExplainedBy(Collection<PartKey> parts) {
      return parts.stream().anyMatch(requests::containsKey);
    }
  }

  /** The crashes under one part that nothing else explains. */
  private static final class Evidence {
    private int processes;
    private final Set<Long> requests = new HashSet<>();
    private long since = Long.MAX_VALUE;

    private void add(Crash crash, Set<Long> under) {
      processes++;
      requests.addAll(under);
      since = Math.min(since, crash.at);
    }

    private boolean isEnough(long now) {
      boolean isMuch =
          (processes >= MIN_PROCESSES && requests.size() > 2)
              || (processes >= MIN_PROCESSES_OF_TWO && requests.size() > 1);
      return isMuch && now - since >= CLEARING_MS;
    }
  }

  private final Map<EndpointId, Crash> crashes = new LinkedHashMap<>();
  private final Map<PartKey, Long> adopted = new LinkedHashMap<>();
  private final Map<PartKey, Long> cleared = new LinkedHashMap<>();
  private Set<PartKey> convicted = Set.of();
  private Set<PartKey> suspected = Set.of();
  private long judgedAt = Long.MIN_VALUE / 2;

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
    judgedAt = Long.MIN_VALUE / 2;
    Crash crash = crashes.computeIfAbsent(process, any -> new Crash(now));
    if (crash.suspects++ < MAX_SUSPECTS) {
      if (!isCleared(new PartKey(request))) {
        crash.open.add(new PartKey(request));
      }
      parts.stream()
          .filter(part -> !isCleared(part))
          .forEach(
              part -> crash.requests.computeIfAbsent(part, any -> new HashSet<>()).add(request));
    }
    if (crashes.size() > MAX_CRASHES) {
      EndpointId dropped =
          crashes.entrySet().stream()
              .filter(entry -> !entry.getValue().isExplainedBy(convicted))
              .findFirst()
              .orElseGet(() -> crashes.entrySet().iterator().next())
              .getKey();
      crashes.remove(dropped);
    }
  }

  private boolean isCleared(PartKey part) {
    return cleared.containsKey(part);
  }

  /** Records that an endpoint has written an answer on parts, or has answered requests. */
  void cleared(Collection<PartKey> parts, long now) {
    judgedAt = Long.MIN_VALUE / 2;
    for (PartKey part : parts) {
      for (Crash crash : crashes.values()) {
        crash.requests.remove(part);
        crash.open.remove(part);
      }
      adopted.remove(part);
      cleared.remove(part);
      cleared.put(part, now);
    }
    trim(cleared);
  }

  /** Adopts verdicts of another daemon. */
  void adopt(Collection<PartKey> parts, long now) {
    judgedAt = Long.MIN_VALUE / 2;
    for (PartKey part : parts) {
      if (!cleared.containsKey(part)) {
        adopted.putIfAbsent(part, now);
      }
    }
    trim(adopted);
  }

  private static void trim(Map<PartKey, Long> parts) {
    while (parts.size() > MAX_PARTS) {
      parts.remove(parts.keySet().iterator().next());
    }
  }

  private void expire(long now) {
    crashes.values().removeIf(crash -> now - crash.at > VERDICT_MS);
    adopted.values().removeIf(at -> now - at > VERDICT_MS);
    cleared.values().removeIf(at -> now - at > CLEARED_MS);
  }

  /** Returns the parts that daemons may clear: those of crashes that are not explained. */
  Set<PartKey> suspected(long now) {
    judge(now);
    return suspected;
  }

  /** Returns the parts that crash endpoints. */
  Set<PartKey> convicted(long now) {
    judge(now);
    return convicted;
  }

  /** Judges anew after a change, and after some time, as reports are awaited. */
  private void judge(long now) {
    if (now - judgedAt < REPORTS_MS / 2) {
      return;
    }
    judgedAt = now;
    expire(now);
    Set<PartKey> result = new HashSet<>(adopted.keySet());
    Optional<PartKey> next = mostGuilty(result, now);
    while (next.isPresent()) {
      result.add(next.get());
      next = mostGuilty(result, now);
    }
    Set<PartKey> questioned = new HashSet<>();
    for (Crash crash : crashes.values()) {
      if (!crash.isExplainedBy(result)) {
        questioned.addAll(crash.requests.keySet());
      }
    }
    ends(Set.copyOf(result))
        .forEach(
            (request, ends) -> {
              if (ends.isVerdict(now)) {
                result.add(request);
              } else if (ends.count >= SUSPECTED_PROCESSES) {
                questioned.add(request);
              }
            });
    convicted = Set.copyOf(result);
    suspected = Set.copyOf(questioned);
  }

  /** The processes that ended under one request. */
  private static final class Ends {
    private int count;
    private int first;
    private int last;
    private long lastAt;

    /**
     * Adds a process.
     *
     * @param number counts the processes of the fleet that have ended, in the order of time
     * @param at when it ended, in milliseconds
     */
    private void add(int number, long at) {
      first = count == 0 ? number : first;
      last = number;
      count++;
      lastAt = at;
    }

    /** Returns whether the request was open at nearly all processes that ended, or at many. */
    private boolean isLikelyCause() {
      int others = last - first + 1 - count;
      return count >= MANY_PROCESSES_OF_REQUEST
          || (count >= MIN_PROCESSES_OF_REQUEST && MIN_SHARE * others <= count);
    }

    private boolean isVerdict(long now) {
      int further = count - MIN_PROCESSES_OF_REQUEST;
      return isLikelyCause()
          && now - lastAt <= Math.min(VERDICT_MS, REQUEST_VERDICT_MS << Math.min(further, 8));
    }
  }

  /**
   * Returns the ends under each request; crashes are kept in the order of time.
   *
   * @param parts the convicted parts, which explain ends of their own
   */
  private Map<PartKey, Ends> ends(Set<PartKey> parts) {
    Map<PartKey, Ends> ends = new HashMap<>();
    int number = 0;
    for (Crash crash : crashes.values()) {
      int current = crash.isExplainedBy(parts) ? number : ++number;
      crash.open.forEach(
          request -> ends.computeIfAbsent(request, any -> new Ends()).add(current, crash.at));
    }
    return ends;
  }

  private Optional<PartKey> mostGuilty(Set<PartKey> known, long now) {
    Map<PartKey, Evidence> evidence = new HashMap<>();
    for (Crash crash : crashes.values()) {
      if (now - crash.at >= REPORTS_MS && !crash.isExplainedBy(known)) {
        crash.requests.forEach(
            (part, under) ->
                evidence.computeIfAbsent(part, any -> new Evidence()).add(crash, under));
      }
    }
    return evidence.entrySet().stream()
        .filter(entry -> entry.getValue().isEnough(now))
        .max(
            Comparator.comparingInt(
                    (Map.Entry<PartKey, Evidence> entry) -> entry.getValue().processes)
                .thenComparingInt(entry -> entry.getValue().requests.size())
                .thenComparingLong(entry -> entry.getKey().value()))
        .map(Map.Entry::getKey);
  }
}
