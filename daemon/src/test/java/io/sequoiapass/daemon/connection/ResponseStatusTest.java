package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against statuses that no server may send and that are taken for responses. */
class ResponseStatusTest {

  private static final long CALL_MS = 5_000;

  /** Well below the time in which a head has to be complete. */
  private static final long AT_ONCE_MS = 1_000;

  private static final String FAILED = "failed";

  private final EventLoopGroup loops = SocketTransport.best().group(1);
  private final HttpClient http = HttpClient.create(loops, 500);

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private String outcome(String statusLines) throws IOException {
    HttpCall call =
        HttpCall.to(
            ScriptedServer.start(
                (socket, out) ->
                    ScriptedServer.send(out, statusLines + "\r\nContent-Length: 4\r\n\r\nbody")),
            "GET",
            "/");
    return http.send(call, CALL_MS)
        .handle((answer, failure) -> failure == null ? answer.status() + answer.text() : FAILED)
        .orTimeout(AT_ONCE_MS, TimeUnit.MILLISECONDS)
        .join();
  }

  @ParameterizedTest
  @ValueSource(strings = {"000", "001", "099", "0", "20", "600", "999", "2000"})
  void invalidOnesFailTheCallAtOnce(String status) throws IOException {
    assertThat(outcome("HTTP/1.1 " + status + " OK")).isEqualTo(FAILED);
  }

  @ParameterizedTest
  @ValueSource(strings = {"200", "299", "404", "503", "599"})
  void finalOnesArePassedOn(String status) throws IOException {
    assertThat(outcome("HTTP/1.1 " + status + " OK")).isEqualTo(status + "body");
  }

  @ParameterizedTest
  @ValueSource(strings = {"100", "102", "199"})
  void informationalOnesAreFollowedByTheResponse(String status) throws IOException {
    assertThat(outcome("HTTP/1.1 " + status + " Wait\r\n\r\nHTTP/1.1 200 OK")).isEqualTo("200body");
  }
}
