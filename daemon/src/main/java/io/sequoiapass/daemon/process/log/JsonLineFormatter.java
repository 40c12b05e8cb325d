package io.sequoiapass.daemon.process.log;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.ExtLogRecord;

/**
 * Writes a log record as one JSON object a line.
 *
 * <p>The log manager's own JSON formatter needs a further JSON library; Gson is here already.
 *
 * <p>Safe for use by several threads.
 */
final class JsonLineFormatter extends ExtFormatter {

  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

  @Override
  public String format(ExtLogRecord record) {
    return GSON.toJson(Line.of(record, formatMessage(record))) + "\n";
  }

  /** Names the fields of a line. */
  private record Line(
      String time, String level, String event, String message, String thread, String error) {

    static Line of(ExtLogRecord record, String message) {
      Throwable thrown = record.getThrown();
      return new Line(
          record.getInstant().toString(),
          record.getLevel().getName(),
          record.getLoggerName(),
          message,
          record.getThreadName(),
          thrown == null ? null : thrown.toString());
    }
  }
}
