package io.sequoiapass.daemon.process.explain;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Adds up the decision lines of all daemons and says where callers lost what: by reason, by route,
 * by moment, with requests to follow.
 *
 * <pre>{@code
 * LossReport report = new LossReport();
 * lines.forEach(report::read);
 * report.print(System.out);
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class LossReport {

  /** Request ids that are shown for each reason. */
  private static final int EXAMPLES = 3;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double PERCENT = 100;

  private final Map<String, RequestTrail> trails = new LinkedHashMap<>();
  private final Map<String, Integer> orders = new TreeMap<>();
  private long lines;

  /**
   * Takes in one line.
   *
   * @param text the line; others than decisions are passed over
   */
  public void read(String text) {
    DecisionLine.parse(text).ifPresent(this::take);
  }

  private void take(DecisionLine line) {
    lines++;
    if (line.has("request")) {
      trails.computeIfAbsent(line.text("request"), RequestTrail::new).add(line);
    } else if (line.event().equals("order")) {
      orders.merge(line.text("type") + " " + line.text("result"), 1, Integer::sum);
    }
  }

  /** Returns how many decisions were read. */
  public long lines() {
    return lines;
  }

  /**
   * Prints the report.
   *
   * @param out where to
   */
  public void print(PrintStream out) {
    List<RequestTrail> ended = trails.values().stream().filter(RequestTrail::hasEnded).toList();
    out.printf(
        Locale.ROOT,
        "%d requests, %d of them without an end in these lines%n%n",
        trails.size(),
        trails.size() - ended.size());
    printReasons(out, ended);
    printRoutes(out, ended);
    printMoments(out, ended);
    printExpectations(out, ended);
    out.printf("orders: %s%n", orders);
  }

  private static void printReasons(PrintStream out, List<RequestTrail> ended) {
    Map<String, List<RequestTrail>> reasons = new HashMap<>();
    for (RequestTrail trail : ended) {
      Loss loss = Loss.of(trail);
      String detail = loss.detail(trail);
      String reason = detail.isEmpty() ? loss.label() : loss.label() + ": " + detail;
      reasons.computeIfAbsent(reason, any -> new ArrayList<>()).add(trail);
    }
    out.printf("%-60s %8s %7s  %s%n", "what became of them", "requests", "share", "for example");
    reasons.entrySet().stream()
        .sorted(Comparator.comparing(entry -> -entry.getValue().size()))
        .forEach(
            entry ->
                out.printf(
                    Locale.ROOT,
                    "%-60s %8d %6.1f%%  %s%n",
                    entry.getKey(),
                    entry.getValue().size(),
                    PERCENT * entry.getValue().size() / ended.size(),
                    entry.getValue().stream()
                        .limit(EXAMPLES)
                        .map(RequestTrail::id)
                        .collect(Collectors.joining(" "))));
    out.println();
  }

  private static void printRoutes(PrintStream out, List<RequestTrail> ended) {
    Map<String, List<RequestTrail>> routes =
        ended.stream()
            .collect(Collectors.groupingBy(RequestTrail::route, TreeMap::new, Collectors.toList()));
    header(out, "route");
    routes.forEach((route, trails) -> row(out, route, trails));
    out.println();
  }

  private static void printMoments(PrintStream out, List<RequestTrail> ended) {
    long begin = ended.stream().mapToLong(RequestTrail::arrivedAt).min().orElse(0);
    Map<Long, List<RequestTrail>> seconds =
        ended.stream()
            .collect(
                Collectors.groupingBy(
                    trail -> (trail.arrivedAt() - begin) / MILLIS_PER_SECOND,
                    TreeMap::new,
                    Collectors.toList()));
    header(out, "second of arrival");
    seconds.forEach((second, trails) -> row(out, String.valueOf(second), trails));
    out.println();
  }

  private static void header(PrintStream out, String what) {
    out.printf(
        "%-28s %8s %8s %6s %6s %6s %8s %6s %6s %6s%n",
        what,
        "requests",
        "in time",
        "place",
        "load",
        "again",
        "endpoint",
        "pause",
        "refuse",
        "fail");
  }

  private static void row(PrintStream out, String name, List<RequestTrail> trails) {
    Map<Loss, Long> losses =
        trails.stream().collect(Collectors.groupingBy(Loss::of, Collectors.counting()));
    out.printf(
        Locale.ROOT,
        "%-28s %8d %7.1f%% %6d %6d %6d %8d %6d %6d %6d%n",
        name,
        trails.size(),
        PERCENT * count(losses, Loss.NONE) / trails.size(),
        count(losses, Loss.PLACE),
        count(losses, Loss.LOAD),
        count(losses, Loss.SENT_AGAIN),
        count(losses, Loss.SLOW_ENDPOINT) + count(losses, Loss.BUSY_ENDPOINT),
        count(losses, Loss.PAUSED),
        count(losses, Loss.REFUSED),
        count(losses, Loss.FAILED) + count(losses, Loss.CUT) + count(losses, Loss.LEFT));
  }

  private static long count(Map<Loss, Long> losses, Loss loss) {
    return losses.getOrDefault(loss, 0L);
  }

  private static void printExpectations(PrintStream out, List<RequestTrail> ended) {
    List<RequestTrail> streams =
        ended.stream().filter(trail -> trail.wasAnswered() && trail.isStream()).toList();
    if (streams.isEmpty()) {
      return;
    }
    long[] beyond = streams.stream().mapToLong(RequestTrail::beyondExpectedMs).sorted().toArray();
    long[] first = streams.stream().mapToLong(RequestTrail::answeredMs).sorted().toArray();
    int refused = ended.stream().mapToInt(RequestTrail::refusedByEndpoints).sum();
    out.printf(
        "first events: p50 %d ms, p90 %d ms; beyond what was expected of the engine: p50 %d ms, p90"
            + " %d ms%n",
        at(first, 0.5), at(first, 0.9), at(beyond, 0.5), at(beyond, 0.9));
    out.printf("refused by endpoints: %d sendings%n", refused);
  }

  private static long at(long[] sorted, double share) {
    return sorted[(int) ((sorted.length - 1) * share)];
  }
}
