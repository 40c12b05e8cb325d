package io.sequoiapass.daemon.process.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jboss.logmanager.ExtLogRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EventLogTest {

  private final List<LogRecord> records = new ArrayList<>();
  private final Logger root = Logger.getLogger("");
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord record) {
          records.add(record);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  @BeforeEach
  void listen() {
    root.addHandler(handler);
  }

  @AfterEach
  void stopListening() {
    root.removeHandler(handler);
  }

  private String logged(LogFormat format) {
    assertThat(records).hasSize(1);
    return format.formatter().format(ExtLogRecord.wrap(records.get(0)));
  }

  @Test
  void textContainsNumberLevelAndMessage() {
    EventLog.log(LogEvent.PRESET_IN_FORCE, "PEAK");

    assertThat(logged(LogFormat.TEXT)).endsWith("INFO  SQP-0014 preset PEAK in force\n");
  }

  @Test
  void jsonContainsNumberAndMessage() {
    EventLog.log(LogEvent.PRESET_IN_FORCE, "PEAK");

    JsonObject line = JsonParser.parseString(logged(LogFormat.JSON)).getAsJsonObject();
    assertThat(line.get("event").getAsString()).isEqualTo("SQP-0014");
    assertThat(line.get("message").getAsString()).isEqualTo("preset PEAK in force");
  }

  @Test
  void trailingThrowableIsLoggedWithItsStackTrace() {
    EventLog.log(LogEvent.INTERNAL_ERROR, "router", new IllegalStateException("full"));

    assertThat(records.get(0).getThrown()).hasMessage("full");
    assertThat(logged(LogFormat.TEXT)).contains("internal error in router", "EventLogTest");
  }

  @Test
  void throwableInAFormatArgumentIsNotACause() {
    EventLog.log(LogEvent.PLATFORM_UNREACHABLE, new IllegalStateException("cut"));

    assertThat(logged(LogFormat.TEXT))
        .contains("unreachable: java.lang.IllegalStateException: cut");
  }
}
