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

  private static final byte[] NO_BYTES = new byte[0];
  private static final String ID_FIELD = "id:";
  private static final Pattern LINE_END = Pattern.compile("\\r?\\n");

  /** The first {@link #pendingBytes} bytes are those after the last complete event. */
  private byte[] pending = NO_BYTES;

  private int pendingBytes;
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
    int before = pendingBytes;
    append(part);
    int end = endOfLastEvent(before);
    if (end == 0) {
      return NO_BYTES;
    }
    byte[] complete = forward(pending, end);
    pending = Arrays.copyOfRange(pending, end, pendingBytes);
    pendingBytes = pending.length;
    return complete;
  }

  /** Grows by half, so that the time for an event does not grow with the square of its parts. */
  private void append(byte[] part) {
    int size = pendingBytes + part.length;
    if (size > pending.length) {
      pending = Arrays.copyOf(pending, Math.max(size, pending.length + pending.length / 2));
    }
    System.arraycopy(part, 0, pending, pendingBytes, part.length);
    pendingBytes = size;
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

  /** Returns where the last event ends; no event ends within the bytes before the new ones. */
  private int endOfLastEvent(int before) {
    for (int i = pendingBytes; i > before; i--) {
      if (endsEvent(pending, i)) {
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
    return isBlank() && (hasEvents || mayBeEmpty);
  }

  private boolean isBlank() {
    for (int i = 0; i < pendingBytes; i++) {
      byte next = pending[i];
      if (next != '\n' && next != '\r') {
        return false;
      }
    }
    return true;
  }

  /** Returns the bytes after the last event; line breaks if the stream is complete. */
  byte[] remainder() {
    return Arrays.copyOf(pending, pendingBytes);
  }

  /** Starts the stream of the next endpoint; a partial event of the one before is discarded. */
  void begin() {
    pending = NO_BYTES;
    pendingBytes = 0;
    resumed = lastId != NONE;
    hasEvents = false;
  }

  /** Returns the id of the last event that was forwarded; {@link #NONE} if there is none. */
  long lastId() {
    return lastId;
  }

  /** Returns how far the stream was read. */
  Position position() {
    return new Position(lastId, pendingBytes);
  }

  /**
   * How far a stream was read.
   *
   * @param lastEvent the id of the last event that was forwarded; {@link #NONE} if there is none
   * @param partialBytes the number of bytes after the last complete event
   */
  record Position(long lastEvent, int partialBytes) {}
}
