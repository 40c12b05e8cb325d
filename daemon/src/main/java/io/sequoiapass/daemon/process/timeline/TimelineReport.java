package io.sequoiapass.daemon.process.timeline;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonSyntaxException;
import java.util.List;

/**
 * Holds what one process answers to {@code GET /timeline}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param process the daemon's name
 * @param nowMs its wall clock when it answered; from it the reader estimates the clock's offset
 * @param recorded how many events it ever recorded
 * @param overwritten how many of them it no longer holds
 * @param omitted how many events match but are left out for the limit, all older than those given
 * @param events the events that match, in the order of their sequence
 */
public record TimelineReport(
    String process, long nowMs, long recorded, long overwritten, long omitted, List<Entry> events) {

  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

  /**
   * Holds one event as JSON gives it; absent parts are null.
   *
   * @param sequence the event's place
   * @param wallMs when, by the process's wall clock
   * @param kind the name of its kind; a string, so that a reader takes kinds of newer processes
   * @param request the request
   * @param adapter the adapter and version
   * @param endpoint the endpoint
   * @param cause what it came from
   * @param detail further words
   */
  public record Entry(
      long sequence,
      long wallMs,
      String kind,
      String request,
      String adapter,
      String endpoint,
      String cause,
      String detail) {

    static Entry of(TimelineEvent event) {
      return new Entry(
          event.sequence(),
          event.wallMs(),
          event.kind().name(),
          event.request().map(Object::toString).orElse(null),
          event.adapter().map(Object::toString).orElse(null),
          event.endpoint().map(Object::toString).orElse(null),
          event.cause().map(Object::toString).orElse(null),
          event.detail().isEmpty() ? null : event.detail());
    }
  }

  String json() {
    return GSON.toJson(this);
  }

  /**
   * Returns the report that a process answered with.
   *
   * @param json the body of its answer
   * @throws JsonSyntaxException if the text is no report
   */
  public static TimelineReport parse(String json) {
    TimelineReport report = GSON.fromJson(json, TimelineReport.class);
    if (report == null || report.process == null || report.events == null) {
      throw new JsonSyntaxException("no time line report: " + json);
    }
    return report;
  }
}
