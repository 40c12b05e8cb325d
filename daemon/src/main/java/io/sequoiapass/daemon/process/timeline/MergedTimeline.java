package io.sequoiapass.daemon.process.timeline;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Merge of several processes' events in the order of the reader's clock.
 *
 * <pre>{@code
 * MergedTimeline merged = MergedTimeline.of(sources);
 * merged.lines().forEach(System.out::println);
 * }</pre>
 *
 * <p>Events of one process keep their order, even if its clock was set back between them. Events of
 * two processes that are closer than the uncertainty of their clocks may appear in either order.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class MergedTimeline {

  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

  private final List<ProcessClock> processes;
  private final List<Event> events;

  private MergedTimeline(List<ProcessClock> processes, List<Event> events) {
    this.processes = processes;
    this.events = events;
  }

  /**
   * Report of one process and the offset of its clock.
   *
   * @param report the report
   * @param offset the offset of its clock
   */
  public record Source(TimelineReport report, ClockOffset offset) {}

  /**
   * Clock and event counts of one process.
   *
   * @param process the daemon's name
   * @param aheadMs how far its clock is ahead of the reader's, in milliseconds
   * @param uncertaintyMs the maximum error of the offset, in milliseconds
   * @param recorded number of events recorded since its start
   * @param overwritten number of them that were overwritten
   * @param omitted number of matching older events omitted because of the limit
   */
  record ProcessClock(
      String process,
      long aheadMs,
      long uncertaintyMs,
      long recorded,
      long overwritten,
      long omitted) {}

  /**
   * One event of the merge.
   *
   * @param atMs the time, in milliseconds of the reader's clock
   * @param process the name of the daemon that recorded it
   * @param event the event as recorded
   */
  record Event(long atMs, String process, TimelineReport.Entry event) {}

  /** JSON form of the merge. */
  private record Json(List<ProcessClock> processes, List<Event> events) {}

  /**
   * Merges the reports of several processes.
   *
   * @param sources the reports with the offsets of their clocks
   */
  public static MergedTimeline of(List<Source> sources) {
    List<ProcessClock> processes = new ArrayList<>();
    List<Event> events = new ArrayList<>();
    for (Source source : sources) {
      TimelineReport report = source.report();
      ClockOffset offset = source.offset();
      processes.add(
          new ProcessClock(
              report.process(),
              offset.aheadMs(),
              offset.uncertaintyMs(),
              report.recorded(),
              report.overwritten(),
              report.omitted()));
      events.addAll(toReaderClock(report, offset));
    }
    // The sort is stable, so events of one process with the same time keep their order.
    events.sort(Comparator.comparingLong(Event::atMs));
    return new MergedTimeline(List.copyOf(processes), List.copyOf(events));
  }

  /**
   * Converts the times of a process's events to the reader's clock; they never decrease, even if
   * the process's clock was set back.
   */
  private static List<Event> toReaderClock(TimelineReport report, ClockOffset offset) {
    List<TimelineReport.Entry> entries = new ArrayList<>(report.events());
    entries.sort(Comparator.comparingLong(TimelineReport.Entry::sequence));
    List<Event> events = new ArrayList<>();
    long latest = Long.MIN_VALUE;
    for (TimelineReport.Entry entry : entries) {
      latest = Math.max(latest, entry.wallMs() - offset.aheadMs());
      events.add(new Event(latest, report.process(), entry));
    }
    return events;
  }

  /** Returns the merge as JSON: the processes with their clock offsets, then the events. */
  public String json() {
    return GSON.toJson(new Json(processes, events));
  }

  /** Returns the merge as text: one line per process, then one per event. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    for (ProcessClock process : processes) {
      lines.add(
          "# "
              + process.process()
              + ": clock "
              + process.aheadMs()
              + " ms ahead, +-"
              + process.uncertaintyMs()
              + " ms; "
              + process.recorded()
              + " events recorded, "
              + process.overwritten()
              + " overwritten, "
              + process.omitted()
              + " older ones omitted");
    }
    events.forEach(event -> lines.add(line(event)));
    return lines;
  }

  private static String line(Event event) {
    TimelineReport.Entry entry = event.event();
    StringBuilder line = new StringBuilder();
    line.append(Instant.ofEpochMilli(event.atMs())).append(' ').append(event.process());
    line.append('#').append(entry.sequence()).append(' ').append(entry.kind());
    append(line, "request", entry.request());
    append(line, "adapter", entry.adapter());
    append(line, "endpoint", entry.endpoint());
    append(line, "cause", entry.cause());
    append(line, "detail", entry.detail());
    return line.toString();
  }

  private static void append(StringBuilder line, String name, String value) {
    if (value != null) {
      line.append(' ').append(name).append('=').append(value);
    }
  }
}
