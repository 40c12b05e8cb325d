package io.sequoiapass.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/**
 * Cuts the bytes of a stream into whole events and passes each on once.
 *
 * <pre>{@code
 * byte[] whole = relay.take(part);   // whole events so far, maybe none
 * long last = relay.lastId();        // where another endpoint may go on
 * }</pre>
 *
 * <p>An endpoint may stop in the middle of an event. Only whole events are passed on, so that
 * another endpoint can go on after the last of them and the caller sees no piece twice. Not safe
 * for use by several threads.
 */
final class EventRelay {

  /** No event has been passed on. */
  static final long NONE = -1;

  private static final String ID_FIELD = "id:";
  private static final Pattern LINE_END = Pattern.compile("\\r?\\n");

  private byte[] pending = new byte[0];
  private long lastId = NONE;

  EventRelay(long lastId) {
    this.lastId = lastId;
  }

  /** Takes bytes as they arrive and returns the whole events among them and what came before. */
  byte[] take(byte[] part) {
    byte[] all = join(pending, part);
    int end = endOfLastEvent(all);
    pending = Arrays.copyOfRange(all, end, all.length);
    return passOn(all, end);
  }

  private byte[] passOn(byte[] all, int end) {
    ByteArrayOutputStream passed = new ByteArrayOutputStream(end);
    int from = 0;
    while (from < end) {
      int to = endOfEvent(all, from, end);
      long id = idOf(all, from, to);
      if (id == NONE || id > lastId) {
        passed.write(all, from, to - from);
        lastId = Math.max(lastId, id);
      }
      from = to;
    }
    return passed.toByteArray();
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

  /** Returns what came after the last whole event; belongs to the answer if that ends whole. */
  byte[] rest() {
    return pending;
  }

  /** Drops what came after the last whole event. */
  void drop() {
    pending = new byte[0];
  }

  /** Returns the number of the last event that was passed on; {@link #NONE} if there is none. */
  long lastId() {
    return lastId;
  }
}
