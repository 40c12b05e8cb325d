package io.sequoiapass.daemon.process.timeline;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonSyntaxException;
import java.util.List;

/**
 * Response body of {@code GET /timeline}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param process the daemon's name
 * @param nowMs its wall clock at the time of the answer, for estimating its offset
 * @param recorded number of events recorded since its start
 * @param overwritten number of them that were overwritten
 * @param omitted number of matching events omitted because of the limit, all older than those given
 * @param events the matching events, by sequence number
 */
public record TimelineReport(
    String process, long nowMs, long recorded, long overwritten, long omitted, List<Entry> events) {

  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

  /**
   * One event in its JSON form; absent values are null.
   *
   * @param sequence the event's sequence number
   * @param wallMs the time, in milliseconds of the process's wall clock
   * @param kind the name of its kind; a string, so that readers accept kinds of newer processes
   * @param request the request
   * @param adapter the adapter version
   * @param endpoint the endpoint
   * @param cause what caused it
   * @param detail further text
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
   * Parses a report from JSON.
   *
   * @param json the response body
   * @throws JsonSyntaxException if the text is not a report
   */
  public static TimelineReport parse(String json) {
    TimelineReport report = GSON.fromJson(json, TimelineReport.class);
    if (report == null || report.process == null || report.events == null) {
      throw new JsonSyntaxException("not a timeline report: " + json);
    }
    return report;
  }
}
