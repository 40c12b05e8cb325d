package io.sequoiapass.gateway.request;

import io.sequoiapass.daemon.connection.BodyFraming;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/**
 * Splits the bytes of a server-sent event stream into complete events and forwards each once.
 *
 * <pre>{@code
 * byte[] complete = relay.take(part);   // complete events so far, may be empty
 * long last = relay.lastId();           // where another endpoint may resume
 * }</pre>
 *
 * <p>An endpoint may fail in the middle of an event. Only complete events are forwarded, so that
 * another endpoint can resume after the last of them and the caller receives no event twice. Not
 * safe for use by several threads.
 */
final class EventRelay {

  /** No event has been forwarded. */
  static final long NONE = -1;

  private static final String ID_FIELD = "id:";
  private static final Pattern LINE_END = Pattern.compile("\\r?\\n");

  private byte[] pending = new byte[0];
  private long lastId = NONE;

  /** Whether the caller has received events before this stream. */
  private boolean resumed;

  private boolean hasEvents;

  EventRelay(long lastId) {
    this.lastId = lastId;
    this.resumed = lastId != NONE;
  }

  /** Appends received bytes and returns the events that are now complete. */
  byte[] take(byte[] part) {
    byte[] all = join(pending, part);
    int end = endOfLastEvent(all);
    pending = Arrays.copyOfRange(all, end, all.length);
    return forward(all, end);
  }

  private byte[] forward(byte[] all, int end) {
    ByteArrayOutputStream forwarded = new ByteArrayOutputStream(end);
    int from = 0;
    while (from < end) {
      int to = endOfEvent(all, from, end);
      long id = idOf(all, from, to);
      hasEvents = true;
      if (id == NONE || id > lastId) {
        forwarded.write(all, from, to - from);
        lastId = Math.max(lastId, id);
      }
      from = to;
    }
    return forwarded.toByteArray();
  }

  private static byte[] join(byte[] first, byte[] second) {
    if (first.length == 0) {
      return second;
    }
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  private static int endOfLastEvent(byte[] bytes) {
    for (int i = bytes.length; i > 1; i--) {
      if (endsEvent(bytes, i)) {
        return i;
      }
    }
    return 0;
  }

  private static int endOfEvent(byte[] bytes, int from, int end) {
    for (int i = from + 2; i <= end; i++) {
      if (endsEvent(bytes, i)) {
        return i;
      }
    }
    return end;
  }

  /** An event ends with an empty line. */
  private static boolean endsEvent(byte[] bytes, int end) {
    if (end < 2 || bytes[end - 1] != '\n') {
      return false;
    }
    return bytes[end - 2] == '\n' || (end >= 4 && bytes[end - 2] == '\r' && bytes[end - 3] == '\n');
  }

  private static long idOf(byte[] bytes, int from, int to) {
    String event = new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    for (String line : LINE_END.split(event, -1)) {
      if (line.startsWith(ID_FIELD)) {
        return parse(line.substring(ID_FIELD.length()).trim());
      }
    }
    return NONE;
  }

  private static long parse(String id) {
    try {
      return Long.parseLong(id);
    } catch (NumberFormatException e) {
      return NONE;
    }
  }

  /**
   * Returns whether the stream of an endpoint that has ended may be complete. A whole framing does
   * not prove it: an endpoint that fails closes its connection as it does after the last event of a
   * stream without a length and chunks.
   *
   * <p>A stream is broken if it ends inside an event or without any. Only a resumed one may have no
   * event left, which its length or last chunk then shows.
   *
   * @param framing how the end of the answer was marked
   */
  boolean isComplete(BodyFraming framing) {
    boolean mayBeEmpty = resumed && framing != BodyFraming.CONNECTION;
    return isBlank(pending) && (hasEvents || mayBeEmpty);
  }

  private static boolean isBlank(byte[] bytes) {
    for (byte next : bytes) {
      if (next != '\n' && next != '\r') {
        return false;
      }
    }
    return true;
  }

  /** Returns the bytes after the last event; line breaks if the stream is complete. */
  byte[] remainder() {
    return pending;
  }

  /** Starts the stream of the next endpoint; a partial event of the one before is discarded. */
  void begin() {
    pending = new byte[0];
    resumed = lastId != NONE;
    hasEvents = false;
  }

  /** Returns the id of the last event that was forwarded; {@link #NONE} if there is none. */
  long lastId() {
    return lastId;
  }

  /** Returns how far the stream was read. */
  Position position() {
    return new Position(lastId, pending.length);
  }

  /**
   * How far a stream was read.
   *
   * @param lastEvent the id of the last event that was forwarded; {@link #NONE} if there is none
   * @param partialBytes the number of bytes after the last complete event
   */
  record Position(long lastEvent, int partialBytes) {}
}
