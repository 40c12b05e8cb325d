package io.sequoiapass.gateway.process;

import com.google.gson.stream.JsonWriter;
import io.sequoiapass.coordination.MillisClock;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one JSON line for each decision on a request and each change of the process's state.
 *
 * <pre>{@code
 * log.request("sent", id).with("endpoint", endpoint).with("load_age_ms", 120).write();
 * }</pre>
 *
 * <p>Lines pass through a bounded queue to a writer thread. If the reader of the output stops
 * reading, lines are dropped and counted, and no request is delayed. Safe for use by several
 * threads; each line is built by one thread.
 */
public final class DecisionLog {

  /** Largest number of queued lines; at about 300 bytes each they take about a megabyte. */
  private static final int MAX_QUEUED = 4_096;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final AtomicLong dropped = new AtomicLong();
  private final MillisClock wall;
  private final String daemon;
  private final PrintStream out;

  private DecisionLog(String daemon, MillisClock wall, PrintStream out) {
    this.daemon = daemon;
    this.wall = wall;
    this.out = out;
  }

  /**
   * Returns a log with a writer thread that runs until the process ends.
   *
   * @param daemon the daemon's name, on each line
   * @param wall the wall clock for the timestamps
   * @param out the output
   */
  public static DecisionLog start(String daemon, MillisClock wall, PrintStream out) {
    DecisionLog log = new DecisionLog(daemon, wall, out);
    Thread writer = new Thread(log::writeLines, "decision-log");
    writer.setDaemon(true);
    writer.start();
    return log;
  }

  /** Returns a log that writes nothing. */
  public static DecisionLog silent() {
    return new DecisionLog("", () -> 0, null);
  }

  /**
   * Starts a line about a request.
   *
   * @param event what was decided
   * @param requestId the request
   */
  public Line request(String event, String requestId) {
    return new Line(event).with("request", requestId);
  }

  /**
   * Starts a line about the process's state.
   *
   * @param event what changed
   */
  public Line event(String event) {
    return new Line(event);
  }

  /** Returns the number of lines dropped because the queue was full. */
  public long dropped() {
    return dropped.get();
  }

  /** Writes all queued lines, for the end of the process. */
  public void flush() {
    if (out != null) {
      for (String line = queue.poll(); line != null; line = queue.poll()) {
        print(line);
      }
      out.flush();
    }
  }

  private void writeLines() {
    try {
      while (true) {
        print(queue.take());
        if (queue.isEmpty()) {
          out.flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void print(String line) {
    byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
    out.write(bytes, 0, bytes.length);
  }

  /** One line that is being built; for use by one thread. */
  public final class Line {

    private final StringWriter text = new StringWriter(256);
    private final JsonWriter json = new JsonWriter(text);

    private Line(String event) {
      try {
        json.beginObject();
        json.name("time_ms").value(wall.millis());
        json.name("daemon").value(daemon);
        json.name("event").value(event);
      } catch (IOException impossible) {
        throw new UncheckedIOException(impossible);
      }
    }

    /**
     * Adds a field.
     *
     * @param name its name
     * @param value its value, written as its text
     */
    public Line with(String name, Object value) {
      try {
        if (value instanceof Number number) {
          json.name(name).value(number);
        } else if (value instanceof Boolean flag) {
          json.name(name).value(flag);
        } else {
          json.name(name).value(String.valueOf(value));
        }
      } catch (IOException impossible) {
        throw new UncheckedIOException(impossible);
      }
      return this;
    }

    /** Ends the line and queues it. */
    public void write() {
      if (out == null) {
        return;
      }
      try {
        json.endObject();
      } catch (IOException impossible) {
        throw new UncheckedIOException(impossible);
      }
      if (!queue.offer(text.toString())) {
        dropped.incrementAndGet();
      }
    }
  }
}
