package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResponseDecoderTest {

  private static final String COPY =
      "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nName: r1\r\nContent-Length: 4\r\n\r\nmine";
  private static final String NEXT =
      "HTTP/1.1 500 Internal Server Error\r\nName: r2\r\nContent-Length: 0\r\n\r\n";

  private final ResponseDecoder decoder = new ResponseDecoder();
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  /** Returns the first head that is read, or null. */
  private static HttpResponse head(EmbeddedChannel from, String bytes) {
    from.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    return from.readInbound();
  }

  /** Guards against a head that has the status of a copy and the name of the next response. */
  @Test
  void headsThatAreJoinedInALineAreFound() {
    List<Integer> missed = new ArrayList<>();
    for (int cut = 1; cut < COPY.indexOf("\r\n\r\n"); cut++) {
      HttpResponse head =
          head(new EmbeddedChannel(new ResponseDecoder()), COPY.substring(0, cut) + NEXT);
      boolean isValid = head != null && head.decoderResult().isSuccess();
      if (isValid && !ResponseDecoder.isJoined(head, header -> false)) {
        missed.add(cut);
      }
    }

    assertThat(missed).isEmpty();
  }

  @Test
  void headThatNamesAnHttpVersionIsNotJoined() {
    assertThat(ResponseDecoder.isJoined(head(channel, COPY), header -> false)).isFalse();
  }

  @Test
  void statusLineInAHeaderOfTheCallerIsNotJoined() {
    HttpResponse head = head(channel, COPY.replace("r1", "HTTP/1.1 200 x"));

    assertThat(ResponseDecoder.isJoined(head, header -> header.getKey().equals("Name"))).isFalse();
    assertThat(ResponseDecoder.isJoined(head, header -> false)).isTrue();
  }

  @Test
  void bytesBehindAResponseAreSeen() {
    head(channel, COPY);
    assertThat(decoder.hasMore()).isFalse();

    channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 O", StandardCharsets.ISO_8859_1));
    assertThat(decoder.hasMore()).isTrue();
  }

  @Test
  void responseToHeadHasNoBody() {
    decoder.bodiless((HttpHeaders headers) -> headers.contains("Name", "r1", false));
    head(channel, COPY.replace("mine", "") + NEXT);
    channel.readInbound();

    assertThat(channel.<HttpResponse>readInbound().status().code()).isEqualTo(500);
  }
}
