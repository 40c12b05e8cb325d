package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.CrashTraits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Refuses requests that crash endpoints, as a whole or by parts of their prompts, and collects what
 * shows which do.
 *
 * <p>Verdicts come from the coordinators, which learn of the crashes at all daemons; a daemon that
 * has none decides on those that it has seen. A part on which it has lately received an answer is
 * never refused. Safe for use by several threads: one shard under its own lock.
 */
public final class PromptPartGuard {

  /** How long an answer shows that its parts crash no endpoint, in milliseconds. */
  private static final long WRITTEN_MS = 300_000;

  /** Largest number of parts on which answers were received; the oldest are dropped. */
  private static final int MAX_WRITTEN = 16_384;

  /** The same for plain calls. */
  private static final int MAX_ANSWERED = 8_192;

  /** Largest number of requests that one log line names. */
  private static final int MAX_LOGGED = 8;

  private record Verdicts(Set<PartKey> suspected, Map<PartKey, Long> convicted) {}

  private final MillisClock clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final CrashVerdicts own = new CrashVerdicts();
  private final Map<DataCentreId, Verdicts> reported = new HashMap<>();
  private final LinkedHashMap<PartKey, Long> written = new LinkedHashMap<>(16, 0.75f, true);
  private final LinkedHashMap<PartKey, Long> answered = new LinkedHashMap<>(16, 0.75f, true);

  /** When verdicts that the store keeps were read, in milliseconds. */
  private final Map<PartKey, Long> recorded = new HashMap<>();

  private volatile boolean watches;
  private volatile Consumer<LinkMessage> coordinators = message -> {};
  private volatile BooleanSupplier isCoordinated = () -> false;

  /**
   * Creates a guard that refuses nothing.
   *
   * @param clock the monotonic clock
   * @param log the log
   * @param metrics the counters
   */
  PromptPartGuard(MillisClock clock, DecisionLog log, GatewayMetrics metrics) {
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Sets the coordinators.
   *
   * @param action sends a message to all of them; must not block
   * @param connected whether there is any
   */
  void reportTo(Consumer<LinkMessage> action, BooleanSupplier connected) {
    coordinators = action;
    isCoordinated = connected;
  }

  /** Returns whether a request, or a part of its prompt, crashes endpoints. */
  public boolean isRefused(CrashTraits traits) {
    if (!watches) {
      return false;
    }
    List<PartKey> parts = traits.parts();
    PartKey request = traits.request();
    boolean byPart;
    boolean refused;
    synchronized (this) {
      byPart = parts.stream().anyMatch(this::isConvicted);
      refused = byPart || isConvicted(request);
    }
    if (refused) {
      metrics.count(
          byPart
              ? "sequoiapass_crashing_prompts_refused_total"
              : "sequoiapass_crashing_requests_refused_total");
    }
    return refused;
  }

  private boolean isConvicted(PartKey part) {
    long now = clock.millis();
    if (isWritten(part, now)) {
      return false;
    }
    boolean isAlone = !isCoordinated.getAsBoolean();
    return (isAlone && own.convicted(now).contains(part))
        || isRecorded(part, now)
        || reported.values().stream()
            .map(verdicts -> verdicts.convicted().get(part))
            .anyMatch(at -> at != null && now - at <= CrashVerdicts.VERDICT_MS);
  }

  private boolean isRecorded(PartKey part, long now) {
    Long at = recorded.get(part);
    return at != null && now - at <= CrashVerdicts.VERDICT_MS;
  }

  private boolean isWritten(PartKey part, long now) {
    Long at = written.getOrDefault(part, answered.get(part));
    return at != null && now - at <= WRITTEN_MS;
  }

  /** Records that an endpoint has written an answer, or enough of it, on a prompt. */
  public void written(CrashTraits traits) {
    clear(written, MAX_WRITTEN, traits.parts());
  }

  /**
   * Records that an endpoint has answered a request, and the answer is complete. Requests may ask
   * for the same, so the answer to one of them shows that it is no request that ends endpoints.
   */
  public void answered(CrashTraits traits) {
    if (traits.isPlainCall()) {
      clear(answered, MAX_ANSWERED, List.of(traits.request()));
    } else if (watches && isQuestionedNow(traits.request())) {
      clear(written, MAX_WRITTEN, List.of(traits.request()));
    }
  }

  private void clear(Map<PartKey, Long> known, int limit, List<PartKey> parts) {
    List<PartKey> cleared;
    synchronized (this) {
      long now = clock.millis();
      parts.forEach(part -> known.put(part, now));
      while (known.size() > limit) {
        known.remove(known.keySet().iterator().next());
      }
      cleared = watches ? parts.stream().filter(this::isQuestioned).toList() : List.of();
      own.cleared(cleared, now);
      recorded.keySet().removeAll(cleared);
    }
    report(cleared);
  }

  private synchronized boolean isQuestionedNow(PartKey request) {
    return isQuestioned(request);
  }

  private boolean isQuestioned(PartKey part) {
    long now = clock.millis();
    return own.suspected(now).contains(part)
        || isRecorded(part, now)
        || own.convicted(now).contains(part)
        || reported.values().stream()
            .anyMatch(v -> v.suspected().contains(part) || v.convicted().containsKey(part));
  }

  private void report(List<PartKey> cleared) {
    if (!cleared.isEmpty()) {
      coordinators.accept(new LinkMessage.PartsCleared(cleared));
    }
  }

  /**
   * Returns what a request adds to the suspicion if the process that had it ends.
   *
   * @param traits the request
   * @param isBeginning whether the process was beginning to write the answer
   */
  public LinkMessage.CrashSuspect suspect(CrashTraits traits, boolean isBeginning) {
    long now = clock.millis();
    List<PartKey> parts = isBeginning ? traits.parts() : List.of();
    synchronized (this) {
      parts = parts.stream().filter(part -> !isWritten(part, now)).toList();
    }
    return new LinkMessage.CrashSuspect(traits.request().value(), parts);
  }

  /** Records the requests that an endpoint's process had when it ended. */
  void crashed(EndpointId process, List<LinkMessage.CrashSuspect> suspects) {
    synchronized (this) {
      watches = true;
      long now = clock.millis();
      suspects.forEach(one -> own.crashed(process, one.request(), one.parts(), now));
    }
    metrics.count("sequoiapass_endpoint_crashes_total");
    log.event("endpoint_crashed")
        .with("endpoint", process)
        .with("suspects", suspects.size())
        .with("requests", requests(suspects))
        .with("beginning", suspects.stream().filter(one -> !one.parts().isEmpty()).count())
        .write();
    coordinators.accept(new LinkMessage.CrashReport(process, suspects));
  }

  private static String requests(List<LinkMessage.CrashSuspect> suspects) {
    return suspects.stream()
        .limit(MAX_LOGGED)
        .map(one -> Long.toHexString(one.request()))
        .collect(Collectors.joining(","));
  }

  /** Applies the verdicts of a coordinator. */
  void update(DataCentreId coordinator, LinkMessage.PartVerdicts update) {
    List<PartKey> cleared = new ArrayList<>();
    synchronized (this) {
      long now = clock.millis();
      if (update.snapshot()) {
        reported.remove(coordinator);
      }
      Verdicts verdicts =
          reported.computeIfAbsent(
              coordinator, any -> new Verdicts(new HashSet<>(), new HashMap<>()));
      verdicts.suspected().addAll(update.suspected());
      verdicts.suspected().removeAll(update.convicted());
      verdicts.suspected().removeAll(update.ended());
      update.convicted().forEach(part -> verdicts.convicted().put(part, now));
      verdicts.convicted().keySet().removeAll(update.ended());
      recorded.keySet().removeAll(update.ended());
      update.suspected().stream().filter(part -> isWritten(part, now)).forEach(cleared::add);
      update.convicted().stream().filter(part -> isWritten(part, now)).forEach(cleared::add);
      watches |= !update.suspected().isEmpty() || !update.convicted().isEmpty();
    }
    report(cleared);
    for (PartKey part : update.convicted()) {
      log.event("prompt_part_refused")
          .with("part", Long.toHexString(part.value()))
          .with("data_centre", coordinator)
          .write();
    }
  }

  /** Returns the verdicts that this daemon knows, for a coordinator that is new to it. */
  synchronized LinkMessage.PartVerdicts known() {
    long now = clock.millis();
    Set<PartKey> convicted = new HashSet<>(own.convicted(now));
    convicted.addAll(convicted());
    convicted.removeIf(part -> isWritten(part, now));
    return new LinkMessage.PartVerdicts(false, List.of(), List.copyOf(convicted), List.of());
  }

  /** Adopts verdicts that the store keeps. */
  void adopt(Set<PartKey> parts) {
    List<PartKey> added;
    synchronized (this) {
      long now = clock.millis();
      recorded.keySet().removeIf(part -> !isRecorded(part, now));
      added =
          parts.stream()
              .filter(part -> !isWritten(part, now) && !recorded.containsKey(part))
              .toList();
      added.forEach(part -> recorded.put(part, now));
      watches |= !added.isEmpty();
    }
    if (added.isEmpty()) {
      return;
    }
    coordinators.accept(new LinkMessage.PartVerdicts(false, List.of(), added, List.of()));
    log.event("verdicts_adopted").with("parts", added.size()).write();
  }

  /** Returns the verdicts of coordinators and of the store that are in force. */
  synchronized Set<PartKey> convicted() {
    long now = clock.millis();
    Set<PartKey> convicted = new HashSet<>();
    reported.values().forEach(verdicts -> convicted.addAll(verdicts.convicted().keySet()));
    recorded.keySet().stream().filter(part -> isRecorded(part, now)).forEach(convicted::add);
    convicted.removeIf(part -> isWritten(part, now));
    return convicted;
  }
}
