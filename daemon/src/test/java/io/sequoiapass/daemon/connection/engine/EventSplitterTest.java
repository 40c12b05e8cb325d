package io.sequoiapass.daemon.connection.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class EventSplitterTest {

  private static final byte[] STREAM =
      "data: one\n\ndata: zwölf\r\n\r\n: a comment\ndata:three\n\n"
          .getBytes(StandardCharsets.UTF_8);

  // The network may split a stream at any byte, also within a character. The events must not
  // change.
  @Property(tries = 200, seed = "7")
  void emitsTheSameEventsForAnySplitOfTheStream(
      @ForAll @IntRange(max = 52) int first, @ForAll @IntRange(max = 52) int second) {
    int low = Math.min(Math.min(first, second), STREAM.length);
    int high = Math.min(Math.max(first, second), STREAM.length);
    List<String> events = new ArrayList<>();
    EventSplitter splitter = new EventSplitter(events::add);

    splitter.accept(Arrays.copyOfRange(STREAM, 0, low));
    splitter.accept(Arrays.copyOfRange(STREAM, low, high));
    splitter.accept(Arrays.copyOfRange(STREAM, high, STREAM.length));

    assertThat(events).containsExactly("one", "zwölf", "three");
  }
}
