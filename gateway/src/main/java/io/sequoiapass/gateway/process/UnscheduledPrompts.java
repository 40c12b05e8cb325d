package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import java.util.HashMap;
import java.util.Map;

/**
 * Unread prompts that engines got without the knowledge of a {@link PromptSchedule}, as far as
 * usage reports show them: short ones, and those that were sent while there was no coordinator.
 *
 * <p>A report is some hundred milliseconds old before the next one replaces it. The tokens of a
 * report therefore decay at the reading speed of the engine, so that the result is a lower bound.
 * Not safe for use by several threads.
 *
 * @param <S> identifies who reports
 */
final class UnscheduledPrompts<S> {

  private final Map<EndpointId, Map<S, Reported>> reports = new HashMap<>();

  private record Reported(long tokens, long at) {}

  /**
   * Replaces a report.
   *
   * @param source who reports
   * @param tokens the unread tokens by engine, without those that were scheduled
   * @param now the time, in milliseconds
   */
  void replace(S source, Map<EndpointId, Long> tokens, long now) {
    remove(source);
    tokens.forEach(
        (endpoint, count) -> {
          if (count > 0) {
            reports
                .computeIfAbsent(endpoint, any -> new HashMap<>())
                .put(source, new Reported(count, now));
          }
        });
  }

  /** Removes a report. */
  void remove(S source) {
    reports.values().forEach(bySource -> bySource.remove(source));
    reports.values().removeIf(Map::isEmpty);
  }

  /** Removes all reports. */
  void clear() {
    reports.clear();
  }

  /**
   * Returns how long an engine reads at least, in milliseconds.
   *
   * @param endpoint the engine
   * @param tokensPerMs its reading speed, in tokens per millisecond
   * @param now the time, in milliseconds
   */
  double unreadMs(EndpointId endpoint, double tokensPerMs, long now) {
    double sum = 0;
    for (Reported reported : reports.getOrDefault(endpoint, Map.of()).values()) {
      sum += Math.max(0, reported.tokens() / tokensPerMs - (now - reported.at()));
    }
    return sum;
  }
}
