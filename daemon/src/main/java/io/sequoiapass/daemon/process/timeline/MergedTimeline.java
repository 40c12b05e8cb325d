package io.sequoiapass.daemon.process.timeline;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Puts the events of several processes in one order, by the reader's clock.
 *
 * <pre>{@code
 * MergedTimeline merged = MergedTimeline.of(sources);
 * merged.lines().forEach(System.out::println);
 * }</pre>
 *
 * <p>Events of one process keep their own order, even if its clock was set back between them.
 * Events of two processes that lie closer than their clocks' uncertainty may stand in either order.
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
   * Holds what one process answered, and how its clock stands to ours.
   *
   * @param report the answer
   * @param offset its clock's offset
   */
  public record Source(TimelineReport report, ClockOffset offset) {}

  /**
   * Names one process of the merge.
   *
   * @param process the daemon's name
   * @param aheadMs how far its clock is ahead of the reader's
   * @param uncertaintyMs the largest error of that
   * @param recorded how many events it ever recorded
   * @param overwritten how many of them are gone
   * @param omitted how many older ones match but are left out for the limit
   */
  record ProcessClock(
      String process,
      long aheadMs,
      long uncertaintyMs,
      long recorded,
      long overwritten,
      long omitted) {}

  /**
   * Holds one event of the merge.
   *
   * @param atMs when, by the reader's clock
   * @param process whose it is
   * @param event the event as recorded
   */
  record Event(long atMs, String process, TimelineReport.Entry event) {}

  /** Names the fields of the JSON form. */
  private record Json(List<ProcessClock> processes, List<Event> events) {}

  /**
   * Returns the merge of what several processes answered.
   *
   * @param sources the answers
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
      events.addAll(corrected(report, offset));
    }
    // The sort is stable, so events of one process with the same time keep their order.
    events.sort(Comparator.comparingLong(Event::atMs));
    return new MergedTimeline(List.copyOf(processes), List.copyOf(events));
  }

  /**
   * Moves a process's events to our clock; a clock set back never puts one before its forerunner.
   */
  private static List<Event> corrected(TimelineReport report, ClockOffset offset) {
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

  /** Returns the merge as JSON: the processes with their clocks' offsets, then the events. */
  public String json() {
    return GSON.toJson(new Json(processes, events));
  }

  /** Returns the merge as text: a line for each process's clock, then one for each event. */
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
