package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that gives each send an outcome at random, and copies earlier responses of a connection,
 * whole or cut, with or without the id, behind a response or before the next one.
 */
final class StutteringServer implements AutoCloseable {

  private static final List<String> STATUSES =
      List.of("200 OK", "421 Misdirected Request", "500 Internal Server Error");
  private static final int COPIES_IN_100 = 30;

  /** Ends the wait of a client for the rest of a body, which a cut copy has made too long. */
  private static final int SILENCE_MS = 100;

  /** Status and body of the response to each send, by its path. */
  final Map<String, String> outcomes = new ConcurrentHashMap<>();

  final AtomicInteger answered = new AtomicInteger();

  /** Requests on connections that have carried bytes behind a complete response. */
  final AtomicInteger carriedBehindCopies = new AtomicInteger();

  private final ServerSocket listening;
  private final Random random;
  private final String echoed;

  StutteringServer(long seed, String echoed) throws IOException {
    random = new Random(seed);
    this.echoed = echoed;
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    inBackground(this::accept);
  }

  /** An action that ends with its connection. */
  @FunctionalInterface
  private interface Action {
    void run() throws IOException;
  }

  private static void inBackground(Action action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                action.run();
              } catch (IOException closed) {
                // Expected: the client closes connections on which it has received a copy.
                assertThat(closed).isNotNull();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listening.accept();
      inBackground(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(SILENCE_MS);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      List<String> sent = new ArrayList<>();
      boolean hasCopyBehind = false;
      for (String path = in.readLine(); path != null; path = in.readLine()) {
        String response = response(path.split(" ", -1)[1], readName(in));
        carriedBehindCopies.addAndGet(hasCopyBehind ? 1 : 0);
        String before = sent.isEmpty() ? "" : copy(sent);
        sent.add(response);
        String behind = copy(sent);
        hasCopyBehind = !behind.isEmpty();
        ScriptedServer.send(socket.getOutputStream(), before + response + behind);
      }
    }
  }

  private String readName(BufferedReader in) throws IOException {
    String name = "";
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      if (line.startsWith(echoed)) {
        name = line.substring(echoed.length() + 2);
      }
    }
    return name;
  }

  private synchronized String response(String path, String name) {
    String status = STATUSES.get(random.nextInt(STATUSES.size()));
    String body = "answer to " + path;
    outcomes.put(path, status.substring(0, 3) + " " + body);
    return "HTTP/1.1 %s\r\nType: text\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(status, echoed, name, body.length(), body);
  }

  /** Returns a copy of one of some responses; empty if none is sent. */
  private synchronized String copy(List<String> responses) {
    if (random.nextInt(100) >= COPIES_IN_100 / 2) {
      return "";
    }
    String whole = responses.get(random.nextInt(responses.size()));
    String copy = random.nextBoolean() ? whole : whole.replaceFirst(echoed + ".*\r\n", "");
    return random.nextBoolean() ? copy : copy.substring(0, 1 + random.nextInt(copy.length() - 1));
  }

  InetSocketAddress address() {
    return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }
}
