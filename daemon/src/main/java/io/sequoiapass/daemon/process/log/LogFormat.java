package io.sequoiapass.daemon.process.log;

import java.util.Map;
import org.jboss.logmanager.ExtFormatter;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.formatters.StructuredFormatter;

/** Format of log lines. */
public enum LogFormat {
  /** One line of plain text per event. */
  TEXT {
    @Override
    ExtFormatter formatter() {
      return new PatternFormatter("%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %c %s%e%n");
    }
  },
  /** One JSON object per line, for log collectors. */
  JSON {
    @Override
    ExtFormatter formatter() {
      return new JsonFormatter(
          Map.of(
              StructuredFormatter.Key.TIMESTAMP, "time",
              StructuredFormatter.Key.LOGGER_NAME, "event"));
    }
  };

  abstract ExtFormatter formatter();
}
