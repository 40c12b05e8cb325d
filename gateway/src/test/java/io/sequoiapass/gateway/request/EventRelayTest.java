package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.connection.BodyFraming;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class EventRelayTest {

  private final EventRelay relay = new EventRelay(EventRelay.NONE);

  private String take(String part) {
    return new String(relay.take(part.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }

  @Nested
  class CompleteEvents {

    @Test
    void areForwardedImmediately() {
      assertThat(take("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"))
          .isEqualTo("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
      assertThat(relay.lastId()).isEqualTo(1);
    }

    /** Guards against time that grows with the square of the parts of an event. */
    @Test
    @Timeout(10)
    void areJoinedFromManyShortParts() {
      int bytes = 1 << 20;
      for (int i = 0; i < bytes; i++) {
        assertThat(relay.take(new byte[] {'a'}).length).isZero();
      }

      assertThat(take("\n\n")).hasSize(bytes + 2);
      assertThat(relay.remainder()).isEmpty();
    }

    @Test
    void areJoinedFromParts() {
      assertThat(take("id: 0\nda")).isEmpty();
      assertThat(take("ta: a\n")).isEmpty();
      assertThat(take("\nid: 1")).isEqualTo("id: 0\ndata: a\n\n");
    }

    @Test
    void mayEndLinesWithCarriageReturns() {
      assertThat(take("id: 4\r\ndata: a\r\n\r\nid: 5")).isEqualTo("id: 4\r\ndata: a\r\n\r\n");
      assertThat(relay.lastId()).isEqualTo(4);
    }
  }

  /**
   * An engine crashes in the middle of an event and another one resumes after the last complete
   * one. The caller must receive each event once and no partial event: the partial event is
   * dropped, and an event that the second engine sends again is ignored.
   */
  @Nested
  class Resumption {

    @Test
    void dropsPartialAndDuplicateEvents() {
      take("id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\nda");
      relay.begin();

      assertThat(take("id: 1\ndata: b\n\nid: 2\ndata: c\n\n")).isEqualTo("id: 2\ndata: c\n\n");
      assertThat(relay.lastId()).isEqualTo(2);
    }

    @Test
    void startsAfterTheEventThatTheCallerNames() {
      EventRelay resumed = new EventRelay(12);

      assertThat(resumed.take("id: 12\n\nid: 13\n\n".getBytes(StandardCharsets.UTF_8)))
          .asString(StandardCharsets.UTF_8)
          .isEqualTo("id: 13\n\n");
    }
  }

  /** Guards against a stream that an endpoint broke off and that is taken as complete. */
  @Nested
  class EndOfStream {

    private static final String STREAM = "id: 0\ndata: a\n\nid: 1\r\ndata: \u00e4\r\n\r\n: c\n\n";

    private boolean isCompleteAfter(byte[] stream, int bytes, BodyFraming framing) {
      EventRelay cut = new EventRelay(EventRelay.NONE);
      cut.take(Arrays.copyOf(stream, bytes));
      return cut.isComplete(framing);
    }

    @ParameterizedTest
    @EnumSource
    void isCompleteOnlyBetweenEvents(BodyFraming framing) {
      byte[] stream = STREAM.getBytes(StandardCharsets.UTF_8);
      List<Integer> complete =
          IntStream.rangeClosed(0, stream.length)
              .filter(bytes -> isCompleteAfter(stream, bytes, framing))
              .boxed()
              .toList();

      int first = STREAM.indexOf("id: 1");
      int second = stream.length - ": c\n\n".length();
      assertThat(complete).containsExactly(first, second, stream.length);
    }

    @Test
    void mayHaveFurtherLineBreaks() {
      take("id: 0\ndata: a\n\n");
      take("\n");

      assertThat(relay.isComplete(BodyFraming.CONNECTION)).isTrue();
      assertThat(relay.remainder()).isEqualTo(new byte[] {'\n'});
    }

    @Test
    void ofAResumedStreamMayFollowNoEventIfItsFramingShowsIt() {
      take("id: 0\ndata: a\n\nid");
      relay.begin();

      assertThat(relay.isComplete(BodyFraming.CHUNKED)).isTrue();
      assertThat(relay.isComplete(BodyFraming.LENGTH)).isTrue();
      assertThat(relay.isComplete(BodyFraming.CONNECTION)).isFalse();
    }

    @Test
    void ofAResumedStreamMayNotBeInsideAnEvent() {
      take("id: 0\ndata: a\n\nid");
      relay.begin();
      take("id: 1\ndata: b\n");

      assertThat(relay.isComplete(BodyFraming.CHUNKED)).isFalse();
    }
  }
}
