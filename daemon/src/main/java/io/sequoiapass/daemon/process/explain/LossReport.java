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
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Report on late and failed requests, built from the decision logs of all daemons: by reason, with
 * example request ids, by route, priority, workspace and second of arrival.
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

  /** Request ids shown for each reason. */
  private static final int MAX_EXAMPLES = 3;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final double PERCENT = 100;

  private final Map<String, RequestTrace> traces = new LinkedHashMap<>();
  private final Map<String, Integer> orders = new TreeMap<>();
  private long lines;

  /**
   * Adds one line of a log.
   *
   * @param text the line; ignored if it is not a decision log entry
   */
  public void read(String text) {
    DecisionLine.parse(text).ifPresent(this::add);
  }

  private void add(DecisionLine line) {
    lines++;
    if (line.has("request")) {
      traces.computeIfAbsent(line.text("request"), RequestTrace::new).add(line);
    } else if (line.event().equals("order")) {
      orders.merge(line.text("type") + " " + line.text("result"), 1, Integer::sum);
    }
  }

  /** Returns the number of decision log entries read. */
  public long lines() {
    return lines;
  }

  /**
   * Prints the report.
   *
   * @param out the stream to print to
   */
  public void print(PrintStream out) {
    List<RequestTrace> ended = traces.values().stream().filter(RequestTrace::hasEnded).toList();
    out.printf(
        Locale.ROOT,
        "%d requests, %d of them without an end in these lines%n%n",
        traces.size(),
        traces.size() - ended.size());
    printReasons(out, ended);
    printBy(out, ended, "route", RequestTrace::route);
    printBy(out, ended, "priority", RequestTrace::priority);
    printBy(out, ended, "workspace", RequestTrace::workspace);
    printSeconds(out, ended);
    printFirstEvents(out, ended);
    out.printf("orders: %s%n", orders);
  }

  private static void printReasons(PrintStream out, List<RequestTrace> ended) {
    Map<String, List<RequestTrace>> reasons = new HashMap<>();
    for (RequestTrace trace : ended) {
      Loss loss = Loss.of(trace);
      String detail = loss.detail(trace);
      String reason = detail.isEmpty() ? loss.label() : loss.label() + ": " + detail;
      reasons.computeIfAbsent(reason, any -> new ArrayList<>()).add(trace);
    }
    out.printf("%-60s %8s %7s  %s%n", "outcome", "requests", "share", "examples");
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
                        .limit(MAX_EXAMPLES)
                        .map(RequestTrace::id)
                        .collect(Collectors.joining(" "))));
    out.println();
  }

  private static void printBy(
      PrintStream out, List<RequestTrace> ended, String what, Function<RequestTrace, String> key) {
    Map<String, List<RequestTrace>> groups =
        ended.stream().collect(Collectors.groupingBy(key, TreeMap::new, Collectors.toList()));
    header(out, what);
    groups.forEach((name, traces) -> row(out, name, traces));
    out.println();
  }

  private static void printSeconds(PrintStream out, List<RequestTrace> ended) {
    long begin = ended.stream().mapToLong(RequestTrace::arrivedAt).min().orElse(0);
    Map<Long, List<RequestTrace>> seconds =
        ended.stream()
            .collect(
                Collectors.groupingBy(
                    trace -> (trace.arrivedAt() - begin) / MILLIS_PER_SECOND,
                    TreeMap::new,
                    Collectors.toList()));
    header(out, "second of arrival");
    seconds.forEach((second, traces) -> row(out, String.valueOf(second), traces));
    out.println();
  }

  private static void header(PrintStream out, String what) {
    out.printf(
        "%-28s %8s %8s %6s %6s %6s %6s %8s %6s %6s %6s%n",
        what,
        "requests",
        "in time",
        "place",
        "load",
        "turn",
        "again",
        "endpoint",
        "pause",
        "refuse",
        "fail");
  }

  private static void row(PrintStream out, String name, List<RequestTrace> traces) {
    Map<Loss, Long> losses =
        traces.stream().collect(Collectors.groupingBy(Loss::of, Collectors.counting()));
    out.printf(
        Locale.ROOT,
        "%-28s %8d %7.1f%% %6d %6d %6d %6d %8d %6d %6d %6d%n",
        name,
        traces.size(),
        PERCENT * count(losses, Loss.NONE) / traces.size(),
        count(losses, Loss.SLOT),
        count(losses, Loss.LOAD),
        count(losses, Loss.TURN),
        count(losses, Loss.RETRIED),
        count(losses, Loss.SLOW_ENDPOINT) + count(losses, Loss.BUSY_ENDPOINT),
        count(losses, Loss.PAUSED),
        count(losses, Loss.REFUSED),
        count(losses, Loss.FAILED) + count(losses, Loss.CUT) + count(losses, Loss.LEFT));
  }

  private static long count(Map<Loss, Long> losses, Loss loss) {
    return losses.getOrDefault(loss, 0L);
  }

  private static void printFirstEvents(PrintStream out, List<RequestTrace> ended) {
    List<RequestTrace> streams =
        ended.stream().filter(trace -> trace.wasAnswered() && trace.isStream()).toList();
    if (streams.isEmpty()) {
      return;
    }
    long[] beyond = streams.stream().mapToLong(RequestTrace::excessMs).sorted().toArray();
    long[] first = streams.stream().mapToLong(RequestTrace::responseMs).sorted().toArray();
    int refused = ended.stream().mapToInt(RequestTrace::refusedByEndpoints).sum();
    out.printf(
        "first events: p50 %d ms, p90 %d ms; beyond the expected time: p50 %d ms, p90 %d ms%n",
        quantile(first, 0.5), quantile(first, 0.9), quantile(beyond, 0.5), quantile(beyond, 0.9));
    out.printf("refused by endpoints: %d attempts%n", refused);
  }

  private static long quantile(long[] sorted, double share) {
    return sorted[(int) ((sorted.length - 1) * share)];
  }
}
