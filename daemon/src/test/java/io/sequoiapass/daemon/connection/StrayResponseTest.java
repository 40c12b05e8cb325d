package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Sends two requests over one connection to a server that copies its first response. */
class StrayResponseTest {

  private static final String ECHOED = "Request-Name";
  private static final long CALL_MS = 1_000;
  private static final String FAILED = "failed";
  private static final String FIRST = response("200 OK", "r1", "first");
  private static final String SECOND = response("500 Internal Server Error", "r2", "second");

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final HttpClient http = HttpClient.create(loops, 500, ECHOED);

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String response(String status, String name, String body) {
    return "HTTP/1.1 %s\r\nType: text\r\n%s: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(status, ECHOED, name, body.length(), body);
  }

  private static InetSocketAddress server(String... responses) throws IOException {
    AtomicInteger next = new AtomicInteger();
    return ScriptedServer.start(
        (socket, out) -> ScriptedServer.send(out, responses[next.getAndIncrement()]));
  }

  private String outcome(InetSocketAddress address, String method, String name) {
    return http.send(HttpCall.to(address, method, "/").header(ECHOED, name), CALL_MS)
        .handle((a, failure) -> failure == null ? a.status() + " " + a.text() : FAILED)
        .join();
  }

  /** Returns the outcome of the second request, where the server writes some bytes at a time. */
  private String second(String... responses) throws IOException {
    InetSocketAddress address = server(responses);

    assertThat(outcome(address, "GET", "r1")).isEqualTo("200 first");
    return outcome(address, "GET", "r2");
  }

  /** Guards against the status of a copy that is cut off with the body of the next response. */
  @Nested
  class CutCopy {

    @Test
    void behindItsResponseDoesNotChangeTheNext() throws IOException {
      List<String> wrong = new ArrayList<>();
      for (int cut = 1; cut < FIRST.length(); cut++) {
        String outcome = second(FIRST + FIRST.substring(0, cut), SECOND);
        if (!outcome.equals(FAILED)) {
          wrong.add(cut + ": " + outcome);
        }
      }

      assertThat(wrong).as("outcomes on a connection that carries no further request").isEmpty();
    }

    @Test
    void behindItsResponseExcludesTheConnectionFromReuse() throws IOException {
      List<Integer> reusable = new ArrayList<>();
      for (int cut = 1; cut < FIRST.length(); cut++) {
        InetSocketAddress address = server(FIRST + FIRST.substring(0, cut));
        assertThat(outcome(address, "GET", "r1")).isEqualTo("200 first");
        if (http.canReuse(address, ReusePolicy.ANY)) {
          reusable.add(cut);
        }
      }

      assertThat(reusable).as("cuts").isEmpty();
    }

    @Test
    void beforeTheNextResponseDoesNotChangeIt() throws IOException {
      List<String> wrong = new ArrayList<>();
      for (int cut = 1; cut < FIRST.length(); cut++) {
        String outcome = second(FIRST, FIRST.substring(0, cut) + SECOND);
        if (!outcome.equals(FAILED) && !outcome.equals("500 second")) {
          wrong.add(cut + ": " + outcome);
        }
      }

      assertThat(wrong).isEmpty();
    }
  }

  /** Guards against a copy without an id that is taken for the response to the next request. */
  @Nested
  class CopyWithoutAnId {

    @Test
    void isNotTheNextResponse() throws IOException {
      String copy = FIRST.replace(ECHOED + ": r1\r\n", "");

      assertThat(second(FIRST, copy + SECOND)).isEqualTo(FAILED);
    }
  }

  /** Guards against a copy after which the response to HEAD is read as one with a body. */
  @Nested
  class CopyBeforeTheResponseToHead {

    private static final String HEAD = SECOND.replace("\r\n\r\nsecond", "\r\n\r\n");

    @Test
    void leavesItWithoutABody() throws IOException {
      InetSocketAddress address = server(FIRST, FIRST + HEAD);

      assertThat(outcome(address, "GET", "r1")).isEqualTo("200 first");
      assertThat(outcome(address, "HEAD", "r2")).isEqualTo("500 ");
    }

    /** Guards against a copy of a response without a body that is read as one with a body. */
    @Test
    void isTheLastOnItsConnection() throws IOException {
      InetSocketAddress address = server(HEAD.replace("r2", "r1"));
      outcome(address, "HEAD", "r1");

      assertThat(http.canReuse(address, ReusePolicy.ANY)).isFalse();
    }
  }
}
