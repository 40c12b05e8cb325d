package io.sequoiapass.daemon.connection;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A client's connection that records when requests were written, responses read, and the end.
 *
 * <p>Written by one thread; a thread of its own reads. All times are of {@link System#nanoTime}, in
 * milliseconds.
 */
final class RecordedConnection implements AutoCloseable {

  /** How long a request may be on its way when the server decides on a close, in milliseconds. */
  static final long SLACK_MS = 200;

  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  private final IdleLimit limit;
  private final Socket socket = new Socket();
  private final long openedAt;
  private final List<Long> startedAt = new ArrayList<>();
  private final List<String> trace = new ArrayList<>();
  private int answered;
  private long firstAnswerAt = Long.MAX_VALUE;
  private long idleSince;
  private long writtenAt;
  private boolean announced;
  private long endedAt = Long.MAX_VALUE;
  private volatile long readFrom;

  RecordedConnection(int port, IdleLimit limit) throws IOException {
    this.limit = limit;
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.setTcpNoDelay(true);
    openedAt = now();
    idleSince = openedAt;
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    Thread reader = new Thread(this::read);
    reader.setDaemon(true);
    reader.start();
  }

  static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  static void pause(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends requests in two writes: the first bytes, and after a pause the rest. */
  void send(String target, int count, int firstPart, long pauseMs) {
    String text = request(target, "").repeat(count);
    int split = Math.min(firstPart, text.length());
    begin(target, count);
    write(text.substring(0, split));
    written();
    pause(pauseMs);
    write(text.substring(split));
  }

  /** Sends a last request and one behind it, and reads the response only after that. */
  void sendLastAndMore(String target, long pauseMs) {
    readFrom = Long.MAX_VALUE;
    begin(target, 1);
    write(request(target, "Connection: close\r\n"));
    written();
    pause(pauseMs);
    write(request(target, ""));
    pause(pauseMs);
    readFrom = 0;
  }

  private static String request(String target, String header) {
    return "GET /" + target + " HTTP/1.1\r\nHost: a\r\n" + header + "\r\n";
  }

  private synchronized void begin(String target, int count) {
    for (int i = 0; i < count; i++) {
      startedAt.add(now());
    }
    note(count + " x " + target);
  }

  private void write(String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      ended("write: " + e.getMessage());
    }
  }

  private synchronized void written() {
    writtenAt = now();
  }

  private void read() {
    try {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      while (true) {
        while (now() < readFrom) {
          pause(1);
        }
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
          head.append((char) in.readUnsignedByte());
          while (now() < readFrom) {
            pause(1);
          }
        }
        String text = head.toString().toLowerCase(Locale.ROOT);
        in.readFully(
            new byte[Integer.parseInt(text.replaceAll("(?s).*content-length: (\\d+).*", "$1"))]);
        answered(text.substring(9, 12), text.contains("connection: close"));
      }
    } catch (IOException e) {
      ended("read: " + e);
    }
  }

  private synchronized void answered(String status, boolean close) {
    answered++;
    idleSince = now();
    firstAnswerAt = Math.min(firstAnswerAt, idleSince);
    announced |= close;
    note("response " + status + (close ? ", close" : ""));
    notifyAll();
  }

  private synchronized void ended(String how) {
    endedAt = Math.min(endedAt, now());
    note(how);
    notifyAll();
  }

  private void note(String event) {
    trace.add((now() - openedAt) + " ms " + event);
  }

  /** Returns whether another request may be sent. */
  synchronized boolean isOpen() {
    return !announced && endedAt == Long.MAX_VALUE;
  }

  /** Waits until all requests have responses, or the connection has ended. */
  synchronized void awaitResponses(long waitMs) {
    long until = now() + waitMs;
    while (answered < startedAt.size() && endedAt == Long.MAX_VALUE && now() < until) {
      try {
        wait(Math.max(1, until - now()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Returns which request has no response though it should, or why the end came too early.
   *
   * @param stoppedAt when the server began to stop
   */
  synchronized Optional<String> violation(long stoppedAt) {
    return judge(stoppedAt).map(what -> what + "; opened " + openedAt + ": " + trace);
  }

  private Optional<String> judge(long stoppedAt) {
    boolean hasOpen = answered < startedAt.size();
    if (hasOpen && endedAt == Long.MAX_VALUE && !announced) {
      return Optional.of("no response and no end");
    }
    if (announced) {
      return hasOpen ? Optional.of("no response behind a close that was announced later") : none();
    }
    if (endedAt == Long.MAX_VALUE) {
      return none();
    }
    long idleUntil = hasOpen ? startedAt.get(answered) : endedAt;
    if (hasOpen && endedAt - writtenAt >= SLACK_MS) {
      return Optional.of("ended " + (endedAt - writtenAt) + " ms after a request was sent");
    }
    long idleMs = idleUntil - idleSince;
    long reliableMs =
        Math.max(limit.least(openedAt, firstAnswerAt), limit.least(endedAt - SLACK_MS, endedAt));
    return endedAt < stoppedAt && idleMs + SLACK_MS < reliableMs
        ? Optional.of("ended after " + idleMs + " ms of at least " + reliableMs)
        : none();
  }

  private static Optional<String> none() {
    return Optional.empty();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      ended("close: " + e.getMessage());
    }
  }

  /** An idle limit that changes, with its past values. */
  static final class IdleLimit {

    private record Change(long at, int limitMs) {}

    private final List<Change> changes = new ArrayList<>();

    IdleLimit(int limitMs) {
      changes.add(new Change(Long.MIN_VALUE, limitMs));
    }

    synchronized void set(int limitMs) {
      changes.add(new Change(now(), limitMs));
    }

    synchronized int get() {
      return changes.get(changes.size() - 1).limitMs();
    }

    /** Returns the least limit that held at any time of an interval, in milliseconds. */
    synchronized int least(long from, long to) {
      int least = Integer.MAX_VALUE;
      for (int i = 0; i < changes.size(); i++) {
        boolean ended = i + 1 < changes.size() && changes.get(i + 1).at() < from;
        if (!ended && changes.get(i).at() <= to) {
          least = Math.min(least, changes.get(i).limitMs());
        }
      }
      return least;
    }
  }
}
