package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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
      relay.discardRemainder();

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
}
