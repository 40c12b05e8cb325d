package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DecisionLogTest {

  @Test
  void lineIsOneJsonObject() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DecisionLog log =
        DecisionLog.start(
            "north-1", () -> 1_234, new PrintStream(bytes, true, StandardCharsets.UTF_8));
    log.request("sent", "r\"1\n").with("running", 3).with("near", true).write();
    log.flush();
    Assertions.assertTimeoutPreemptively(
        Duration.ofSeconds(10),
        () -> {
          while (!bytes.toString(StandardCharsets.UTF_8).endsWith("\n")) {
            Thread.onSpinWait();
          }
        });

    JsonObject line =
        JsonParser.parseString(bytes.toString(StandardCharsets.UTF_8).trim()).getAsJsonObject();
    assertThat(line.get("time_ms").getAsLong()).isEqualTo(1_234);
    assertThat(line.get("daemon").getAsString()).isEqualTo("north-1");
    assertThat(line.get("request").getAsString()).isEqualTo("r\"1\n");
    assertThat(line.get("running").getAsInt()).isEqualTo(3);
    assertThat(line.get("near").getAsBoolean()).isTrue();
  }

  /**
   * Guards against requests that block because the log collector has stopped reading and the pipe
   * is full. Lines must be dropped and counted, and no writer may wait.
   */
  @Nested
  class StalledReader {

    @Test
    void dropsLinesAndBlocksNoWriter() throws InterruptedException {
      CountDownLatch released = new CountDownLatch(1);
      OutputStream stuck =
          new OutputStream() {
            @Override
            public void write(int b) {
              try {
                released.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            }

            @Override
            public void write(byte[] bytes, int from, int length) {
              write(0);
            }
          };
      DecisionLog log =
          DecisionLog.start(
              "north-1", () -> 0, new PrintStream(stuck, false, StandardCharsets.UTF_8));

      Assertions.assertTimeoutPreemptively(
          Duration.ofSeconds(20),
          () -> {
            for (int i = 0; i < 20_000; i++) {
              log.request("sent", "r" + i).write();
            }
          });

      assertThat(log.dropped()).isGreaterThan(10_000);
      released.countDown();
    }
  }
}
