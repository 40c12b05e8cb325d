package io.sequoiapass.daemon.connection.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a byte stream of server-sent events into the text of each event.
 *
 * <p>Not safe for use by several threads.
 */
public final class EventSplitter {

  /** Limit on the length of an event; a token with its identifiers is far shorter. */
  private static final int MAX_EVENT_BYTES = 1 << 16;

  private static final String DATA = "data:";

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final Consumer<String> events;

  /**
   * Creates a splitter.
   *
   * @param events receives the text of each event
   */
  public EventSplitter(Consumer<String> events) {
    this.events = events;
  }

  /**
   * Processes the next bytes of the stream.
   *
   * @param part the bytes
   * @throws IllegalArgumentException if a line is longer than any event that an engine sends
   */
  public void accept(byte[] part) {
    int start = 0;
    for (int i = 0; i < part.length; i++) {
      if (part[i] == '\n') {
        line.write(part, start, i - start);
        endLine();
        start = i + 1;
      }
    }
    line.write(part, start, part.length - start);
    if (line.size() > MAX_EVENT_BYTES) {
      throw new IllegalArgumentException("event of more than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8).strip();
    line.reset();
    if (text.startsWith(DATA)) {
      events.accept(text.substring(DATA.length()).strip());
    }
  }
}
