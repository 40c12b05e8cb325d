package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Sends requests again at a server that copies any of its responses at any later moment. */
class LateResponseTest {

  private static final String ECHOED = "Request-Name";
  private static final long CALL_MS = 5_000;
  private static final int REQUESTS = 40;
  private static final int CALLERS = 4;
  private static final int MOST_REJECTIONS = 4;
  private static final int COPIES_IN_100 = 30;
  private static final int SENDS = 60;
  private static final int SENDS_OF_EACH = 3;
  private static final String FAILED = "failed";

  /** A server that rejects each request some times, runs it then, and copies responses. */
  private static final class CopyingServer implements AutoCloseable {

    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> rejections = new ConcurrentHashMap<>();
    private final ServerSocket listening;
    private final Random random;

    CopyingServer(long seed) throws IOException {
      random = new Random(seed);
      listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      inBackground(this::accept);
    }

    private static void inBackground(Runnable action) {
      Thread thread = new Thread(action);
      thread.setDaemon(true);
      thread.start();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listening.accept();
          inBackground(() -> serve(socket));
        }
      } catch (IOException closed) {
        assertThat(listening.isClosed()).isTrue();
      }
    }

    private void serve(Socket socket) {
      List<String> sent = new ArrayList<>();
      try (socket) {
        socket.setTcpNoDelay(true);
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String name = readRequest(in);
        while (name != null) {
          OutputStream out = socket.getOutputStream();
          if (!sent.isEmpty() && draw(100) < COPIES_IN_100) {
            out.write(sent.get(draw(sent.size())).getBytes(StandardCharsets.ISO_8859_1));
          }
          String response = response(name);
          sent.add(response);
          out.write(response.getBytes(StandardCharsets.ISO_8859_1));
          out.flush();
          name = readRequest(in);
        }
      } catch (IOException closed) {
        // The client closes connections on which it has received a copy.
        assertThat(closed).isNotNull();
      }
    }

    private synchronized int draw(int bound) {
      return random.nextInt(bound);
    }

    private static String readRequest(BufferedReader in) throws IOException {
      String name = null;
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith(ECHOED)) {
          name = line.substring(ECHOED.length() + 2);
        }
        if (line.isEmpty()) {
          return name;
        }
      }
      return null;
    }

    private String response(String name) {
      int left =
          rejections
              .computeIfAbsent(name, any -> new AtomicInteger(draw(MOST_REJECTIONS + 1)))
              .getAndDecrement();
      int status = left > 0 ? 421 : 200;
      if (status == 200) {
        runs.computeIfAbsent(name, any -> new AtomicInteger()).incrementAndGet();
      }
      return "HTTP/1.1 %d Any\r\n%s: %s\r\nContent-Length: 0\r\n\r\n"
          .formatted(status, ECHOED, name);
    }

    InetSocketAddress address() {
      return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
    }

    @Override
    public void close() throws IOException {
      listening.close();
    }
  }

  /** Sends a request again until it is not rejected; returns the last status. */
  private static CompletableFuture<Integer> send(
      HttpClient http, CopyingServer server, String name, int sends) {
    HttpCall call = HttpCall.to(server.address(), "GET", "/").header(ECHOED, name);
    return http.send(call, CALL_MS)
        .thenCompose(
            answer ->
                answer.status() == 421 && sends < MOST_REJECTIONS + 1
                    ? send(http, server, name, sends + 1)
                    : CompletableFuture.completedFuture(answer.status()));
  }

  private static void play(HttpClient http, CopyingServer server, int caller) {
    for (int i = 0; i < REQUESTS; i++) {
      String name = "r" + caller + "-" + i;

      assertThat(send(http, server, name, 1).join()).as("last status of " + name).isEqualTo(200);
      assertThat(server.runs.get(name).get()).as("runs of " + name).isEqualTo(1);
    }
  }

  /** Guards against a copy of a rejection that makes a request run twice, or refused though run. */
  @Property(tries = 20, seed = "7")
  void rejectedRequestsRunOnceWhateverIsCopied(@ForAll long seed) throws IOException {
    EventLoopGroup loops = SocketTransport.best().group(2);
    try (CopyingServer server = new CopyingServer(seed)) {
      HttpClient http = HttpClient.create(loops, 500, ECHOED);
      List<CompletableFuture<Void>> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        int caller = i;
        callers.add(CompletableFuture.runAsync(() -> play(http, server, caller)));
      }
      callers.forEach(CompletableFuture::join);
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** Sends each request some times, whatever its outcomes; returns the wrong ones. */
  private static List<String> wrong(HttpClient http, StutteringServer server, int caller) {
    List<String> wrong = new ArrayList<>();
    for (int i = 0; i < SENDS; i++) {
      String name = "r" + caller + "-" + i / SENDS_OF_EACH;
      String send = "/" + caller + "-" + i;
      HttpCall call = HttpCall.to(server.address(), "GET", send).header(ECHOED, name);
      String outcome =
          http.send(call, CALL_MS)
              .handle((a, failure) -> failure == null ? a.status() + " " + a.text() : FAILED)
              .join();
      if (!outcome.equals(FAILED) && !outcome.equals(server.outcomes.get(send))) {
        wrong.add(outcome + " for " + server.outcomes.get(send));
      }
      server.answered.addAndGet(outcome.equals(FAILED) ? 0 : 1);
    }
    return wrong;
  }

  /** Guards against a copy, whole or cut, that changes the outcome of another send. */
  @Property(tries = 10, seed = "7")
  void eachSendHasItsOwnOutcomeWhateverIsCopied(@ForAll long seed) throws IOException {
    EventLoopGroup loops = SocketTransport.best().group(2);
    try (StutteringServer server = new StutteringServer(seed, ECHOED)) {
      HttpClient http = HttpClient.create(loops, 500, ECHOED);
      List<CompletableFuture<List<String>>> callers = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        int caller = i;
        callers.add(CompletableFuture.supplyAsync(() -> wrong(http, server, caller)));
      }

      assertThat(callers.stream().flatMap(caller -> caller.join().stream())).isEmpty();
      assertThat(server.carriedBehindCopies.get())
          .as("requests on connections with bytes behind a response")
          .isZero();
      assertThat(server.answered.get()).as("answers").isGreaterThan(CALLERS * SENDS / 2);
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  /** Guards against an unbounded record of the requests that a connection has carried. */
  @Test
  void connectionIsReplacedOnceItsRecordIsFull() {
    CarriedRequests carried = new CarriedRequests();
    for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
      assertThat(carried.isFull()).isFalse();
      carried.add("r" + i);
    }

    assertThat(carried.isFull()).isTrue();
    assertThat(carried.contains("r0")).isTrue();
    assertThat(carried.contains("other")).isFalse();
  }
}
