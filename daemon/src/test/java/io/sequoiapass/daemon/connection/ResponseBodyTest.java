package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against JSON answers that were broken off and are taken for complete. */
class ResponseBodyTest {

  private static final byte[] DOCUMENT =
      "{\"a\":[true,12,\"\\u00e4\\\"x\"],\"b\":{\"c\":null}}".getBytes(StandardCharsets.UTF_8);

  private static HttpHeaders json() {
    return new DefaultHttpHeaders().set("Content-Type", "application/json; charset=utf-8");
  }

  @Nested
  class JsonThatEndsWithItsConnection {

    @Test
    void isBrokenOffAtEachByteButTheLast() {
      assertThat(IntStream.range(1, DOCUMENT.length))
          .allMatch(n -> ResponseBody.isBrokenOff(json(), Arrays.copyOf(DOCUMENT, n)));
      assertThat(ResponseBody.isBrokenOff(json(), DOCUMENT)).isFalse();
    }
  }

  @Nested
  class OtherBodies {

    @ParameterizedTest
    @ValueSource(
        strings = {"", " ", "plain", "\"text", "12", "{\"a\":NaN}", "{\"a\":1}\n{\"b\":2}\n"})
    void areNotJudged(String body) {
      assertThat(ResponseBody.isBrokenOff(json(), body.getBytes(StandardCharsets.UTF_8))).isFalse();
    }

    /** Guards against a complete document that is taken for broken off because it is nested. */
    @ParameterizedTest
    @ValueSource(ints = {300, 20_000})
    void areNotJudgedByTheirDepth(int levels) {
      byte[] nested = ("[".repeat(levels) + "]".repeat(levels)).getBytes(StandardCharsets.UTF_8);

      assertThat(ResponseBody.isBrokenOff(json(), nested)).isFalse();
      assertThat(ResponseBody.isBrokenOff(json(), Arrays.copyOf(nested, 300))).isTrue();
    }

    @Test
    void areNotJudgedIfTheirFramingIsWhole() {
      byte[] half = Arrays.copyOf(DOCUMENT, DOCUMENT.length / 2);

      assertThat(ResponseBody.isBrokenOff(json().set("Content-Length", half.length), half))
          .isFalse();
      assertThat(ResponseBody.isBrokenOff(json().set("Transfer-Encoding", "chunked"), half))
          .isFalse();
      assertThat(ResponseBody.isBrokenOff(new DefaultHttpHeaders(), half)).isFalse();
    }
  }
}
