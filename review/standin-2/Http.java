import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small blocking HTTP/1.1 server and client for stand-ins: a thread for each connection. */
final class Http {

  private Http() {}

  /** A message as it was read; header names are in lower case. */
  static final class Message {
    String start = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String method() {
      return start.split(" ", 3)[0];
    }

    String target() {
      return start.split(" ", 3)[1];
    }

    int status() {
      return Integer.parseInt(start.split(" ", 3)[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Handles the requests of a connection, one after the other. */
  interface Handler {
    /** Returns whether the connection is kept. */
    boolean handle(Message request, Connection connection) throws Exception;
  }

  /** One connection, at either end. */
  static final class Connection implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      this.in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
      this.out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    /** Sends a response with a length. */
    void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(head(status, headers).getBytes(StandardCharsets.UTF_8));
      all.write(("Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
      all.write(body);
      out.write(all.toByteArray());
      out.flush();
    }

    /** Begins a response in chunks. */
    void begin(int status, Map<String, String> headers) throws IOException {
      send(head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
    }

    void chunk(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      send(Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    void lastChunk() throws IOException {
      send("0\r\n\r\n");
    }

    /** Returns whether the other side has closed; reads ahead at most one byte. */
    boolean isClosedByPeer() {
      try {
        socket.setSoTimeout(1);
        in.mark(1);
        int next = in.read();
        if (next >= 0) {
          in.reset();
        }
        return next < 0;
      } catch (java.net.SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      } finally {
        try {
          socket.setSoTimeout(0);
        } catch (IOException e) {
          // The connection has ended.
        }
      }
    }

    /** Closes with a reset. */
    void reset() {
      try {
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // It has ended already.
      }
      close();
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Nothing is left to close.
      }
    }
  }

  static String head(int status, Map<String, String> headers) {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    return head.toString();
  }

  /** A server; each connection has a thread. */
  static final class Server implements AutoCloseable {
    final ServerSocket listening;
    final java.util.Set<Connection> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

    Server(String ip, int port, Handler handler) throws IOException {
      listening = new ServerSocket();
      listening.setReuseAddress(true);
      listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1024);
      daemon(
          () -> {
            while (true) {
              Connection connection = new Connection(listening.accept());
              open.add(connection);
              daemon(() -> serve(connection, handler));
            }
          });
    }

    private Void serve(Connection connection, Handler handler) {
      try {
        while (true) {
          Message request = read(connection.in, false);
          if (request == null || !handler.handle(request, connection)) {
            break;
          }
        }
      } catch (Exception e) {
        // The connection ends with this.
      } finally {
        open.remove(connection);
        connection.close();
      }
      return null;
    }

    int port() {
      return listening.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      listening.close();
      open.forEach(Connection::close);
    }
  }

  /** Runs a task on a thread that does not keep the process alive. */
  static Thread daemon(java.util.concurrent.Callable<?> task) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                task.call();
              } catch (Exception e) {
                // The task ends with its socket.
              }
            },
            "stand-in",
            256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static Connection connect(String ip, int port, int timeoutMs) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(ip, port), timeoutMs);
    return new Connection(socket);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
    if (line.size() > 0) {
      throw new EOFException("ended inside a line");
    }
    return null;
  }

  /** Reads the head of a message; null if the connection ended before it. */
  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    String start = line(in);
    if (start == null) {
      return null;
    }
    message.start = start;
    for (String next = line(in); ; next = line(in)) {
      if (next == null) {
        throw new EOFException("ended inside a head");
      }
      if (next.isEmpty()) {
        return message;
      }
      int colon = next.indexOf(':');
      message.headers.merge(
          next.substring(0, colon).toLowerCase(Locale.ROOT),
          next.substring(colon + 1).trim(),
          (a, b) -> a + ", " + b);
    }
  }

  /** Reads a whole message; null if the connection ended before it. */
  static Message read(InputStream in, boolean isResponse) throws IOException {
    Message message = readHead(in);
    if (message != null) {
      message.body = body(in, message, isResponse);
    }
    return message;
  }

  static byte[] body(InputStream in, Message message, boolean isResponse) throws IOException {
    if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("ended inside chunks");
        }
        int length = Integer.parseInt(size.trim(), 16);
        if (length == 0) {
          while (!line(in).isEmpty()) {}
          return all.toByteArray();
        }
        all.write(exactly(in, length));
        line(in);
      }
    }
    if (!message.header("content-length").isEmpty()) {
      return exactly(in, Integer.parseInt(message.header("content-length")));
    }
    return isResponse ? in.readAllBytes() : new byte[0];
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }
}
