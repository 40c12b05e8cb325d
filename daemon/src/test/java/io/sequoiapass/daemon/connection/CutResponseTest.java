package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends two requests over one connection to a server that cuts responses of several framings. */
class CutResponseTest {

  private static final String ECHOED = "Request-Name";
  private static final String FAILED = "failed";
  private static final long SOUND_MS = 10_000;

  /** Time for a response that may never be complete, in milliseconds. */
  private static final long CUT_MS = 400;

  private static final String SIZED = "Content-Length: 6\r\n\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
  private static final String FIRST = head("200 OK", "r1") + SIZED + "first.";
  private static final String SECOND = head("500 Internal Server Error", "r2") + SIZED + "second";

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final HttpClient http = HttpClient.create(loops, 500, ECHOED);

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String head(String status, String name) {
    return "HTTP/1.1 %s\r\nType: text\r\n%s: %s\r\n".formatted(status, ECHOED, name);
  }

  private static InetSocketAddress server(String... responses) throws IOException {
    AtomicInteger next = new AtomicInteger();
    return ScriptedServer.start(
        (socket, out) -> ScriptedServer.send(out, responses[next.getAndIncrement()]));
  }

  private HttpAnswer answer(InetSocketAddress address, String name) {
    return http.send(HttpCall.to(address, "GET", "/").header(ECHOED, name), SOUND_MS).join();
  }

  private String second(String... responses) throws IOException {
    InetSocketAddress address = server(responses);

    assertThat(answer(address, "r1").text()).isEqualTo("first.");
    return http.send(HttpCall.to(address, "GET", "/").header(ECHOED, "r2"), CUT_MS)
        .handle((a, failure) -> failure == null ? a.status() + " " + a.text() : FAILED)
        .join();
  }

  /** Returns what the second request got in error, by the place at which the copy stops. */
  private List<String> wrong(String copy, String next) throws IOException {
    List<String> wrong = new ArrayList<>();
    for (int cut = 1; cut <= copy.length(); cut++) {
      String outcome = second(FIRST, copy.substring(0, cut) + next);
      if (!outcome.equals(FAILED) && !outcome.equals("500 second")) {
        wrong.add(cut + ": " + outcome);
      }
    }
    return wrong;
  }

  /** Guards against a part of a copy that changes the next response, in any framing. */
  @Nested
  class CutCopy {

    @ParameterizedTest
    @ValueSource(
        strings = {
          CHUNKED + "3\r\nfir\r\n3;x=y\r\nst.\r\n0\r\nTrailer: t\r\n\r\n",
          "Content-Length: 0\r\n\r\n",
          SIZED + "first.\r\n",
        })
    void doesNotChangeTheNextResponse(String rest) throws IOException {
      assertThat(wrong(head("200 OK", "r1") + rest, SECOND)).isEmpty();
    }

    @Test
    void doesNotChangeAChunkedResponse() throws IOException {
      String next = head("500 Internal Server Error", "r2") + CHUNKED + "6\r\nsecond\r\n0\r\n\r\n";

      assertThat(wrong(FIRST, next)).isEmpty();
    }

    @Test
    void doesNotChangeAResponseWithoutAReason() throws IOException {
      assertThat(wrong(FIRST, SECOND.replace(" Internal Server Error", ""))).isEmpty();
    }

    @Test
    void doesNotChangeAResponseWithBareLineFeeds() throws IOException {
      assertThat(wrong(FIRST.replace("\r", ""), SECOND.replace("\r", ""))).isEmpty();
    }

    @Test
    void ofOneWithoutABodyDoesNotChangeTheNext() throws IOException {
      assertThat(wrong(head("204 No Content", "r1") + "\r\n", SECOND)).isEmpty();
      assertThat(wrong(head("304 Not Modified", "r1") + "\r\n", SECOND)).isEmpty();
      assertThat(wrong(head("103 Early Hints", "r1") + "\r\n", SECOND)).isEmpty();
    }

    @Test
    void beforeAnInterimResponseDoesNotChangeTheNext() throws IOException {
      assertThat(wrong(FIRST, "HTTP/1.1 100 Continue\r\n\r\n" + SECOND)).isEmpty();
    }
  }

  /** Guards against a sound response that is taken for two joined ones. */
  @Nested
  class StatusLineInTheId {

    @Test
    void isNoJoinedHead() throws IOException {
      String name = "HTTP/1.1 200 x";

      assertThat(answer(server(FIRST.replace("r1", name)), name).text()).isEqualTo("first.");
    }
  }

  /** Guards against a rejection of a request without an id that is taken for a copy. */
  @Nested
  class RequestWithoutAnId {

    @Test
    void getsItsResponseAlsoAfterOtherRequests() throws IOException {
      InetSocketAddress address =
          eachConnection(FIRST, "HTTP/1.1 400 Bad Request\r\n" + SIZED + "no id.");

      assertThat(answer(address, "r1").text()).isEqualTo("first.");
      HttpAnswer answer = http.send(HttpCall.to(address, "GET", "/"), SOUND_MS).join();
      assertThat(answer.status()).isEqualTo(400);
    }

    /** Starts a server that sends the responses in turn, over as many connections as are opened. */
    private static InetSocketAddress eachConnection(String... responses) throws IOException {
      ServerSocket listening = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
      AtomicInteger next = new AtomicInteger();
      Thread thread =
          new Thread(
              () -> {
                for (int i = 0; i < responses.length; i++) {
                  accept(listening, responses, next);
                }
              });
      thread.setDaemon(true);
      thread.start();
      return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
    }

    private static void accept(ServerSocket listening, String[] responses, AtomicInteger next) {
      try {
        Socket socket = listening.accept();
        Thread thread = new Thread(() -> serve(socket, responses, next));
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private static void serve(Socket socket, String[] responses, AtomicInteger next) {
      try (socket) {
        while (ScriptedServer.readRequest(socket)) {
          ScriptedServer.send(socket.getOutputStream(), responses[next.getAndIncrement()]);
        }
      } catch (IOException closed) {
        assertThat(closed).isNotNull();
      }
    }
  }
}
