package io.sequoiapass.daemon.process.explain;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Report on one request, built from the decision logs of all daemons: why it was late or refused,
 * what it waited for, the shortage or usage limit that refused it, and its decisions in the order
 * of their times.
 *
 * <pre>{@code
 * RequestReport report = new RequestReport("r-17");
 * lines.forEach(report::read);
 * report.print(System.out);
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class RequestReport {

  private static final String SHORTAGE = "shortage_";
  private static final String USAGE_LIMITED = "usage_limited";

  private final String id;
  private final RequestTrace trace;
  private final List<DecisionLine> decisions = new ArrayList<>();
  private final List<DecisionLine> statements = new ArrayList<>();

  /**
   * Creates a report without lines.
   *
   * @param id the request
   */
  public RequestReport(String id) {
    this.id = id;
    this.trace = new RequestTrace(id);
  }

  /**
   * Adds one line of a log.
   *
   * @param text the line; ignored if it does not concern the request
   */
  public void read(String text) {
    if (text.contains(id) || text.contains(SHORTAGE) || text.contains(USAGE_LIMITED)) {
      DecisionLine.parse(text).ifPresent(this::add);
    }
  }

  private void add(DecisionLine line) {
    if (line.text("request").equals(id)) {
      trace.add(line);
      decisions.add(line);
    } else if (line.event().startsWith(SHORTAGE) || line.event().equals(USAGE_LIMITED)) {
      statements.add(line);
    }
  }

  /** Returns whether no line concerns the request. */
  public boolean isEmpty() {
    return decisions.isEmpty();
  }

  /**
   * Prints the report.
   *
   * @param out the stream to print to
   */
  public void print(PrintStream out) {
    if (trace.hasEnded()) {
      printEnd(out);
    } else {
      out.printf("%s: no end in these lines%n", id);
    }
    decisions.sort(Comparator.comparingLong(line -> line.number("time_ms")));
    decisions.forEach(line -> out.printf("  %s%n", line));
  }

  private void printEnd(PrintStream out) {
    Loss loss = Loss.of(trace);
    String detail = loss.detail(trace);
    out.printf("%s: %s%s%n", id, loss.label(), detail.isEmpty() ? "" : ": " + detail);
    out.printf(
        "route %s, priority %s, workspace %s%n",
        trace.route(), trace.priority(), trace.workspace());
    out.printf(
        "waited %d ms for an adapter slot, %d ms for its adapter, %d ms for the turn of its prompt,"
            + " %d ms for attempts that were refused or lost%n",
        trace.slotWaitMs(), trace.loadWaitMs(), trace.turnWaitMs(), trace.failedAttemptsMs());
    if (trace.hasLongPause()) {
      out.printf("paused %d ms, target %d ms%n", trace.pauseMs(), trace.gapTargetMs());
    }
    trace.shortageRefusal().ifPresent(refusal -> printShortage(out, refusal));
    trace.usageRefusal().ifPresent(refusal -> printLast(out, refusal, USAGE_LIMITED, "workspace"));
  }

  private void printShortage(PrintStream out, DecisionLine refusal) {
    out.printf(
        "%s of service %s was short: %s of such requests admitted%n",
        refusal.text("room"), refusal.text("service"), refusal.text("share"));
    printLast(out, refusal, SHORTAGE, "shortage", "service", "room");
  }

  /** Prints the last line of the coordinators before a refusal that is on the same matter. */
  private void printLast(PrintStream out, DecisionLine refusal, String event, String... fields) {
    statements.stream()
        .filter(line -> line.event().startsWith(event))
        .filter(line -> Stream.of(fields).allMatch(field -> isSame(line, refusal, field)))
        .filter(line -> line.number("time_ms") <= refusal.number("time_ms"))
        .max(Comparator.comparingLong(line -> line.number("time_ms")))
        .ifPresent(line -> out.printf("  %s%n", line));
  }

  private static boolean isSame(DecisionLine one, DecisionLine other, String field) {
    return one.text(field).equals(other.text(field));
  }
}
