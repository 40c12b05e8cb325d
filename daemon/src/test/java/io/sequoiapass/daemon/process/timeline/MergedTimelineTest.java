package io.sequoiapass.daemon.process.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MergedTimelineTest {

  private static MergedTimeline.Source source(String process, long aheadMs, long... wallMs) {
    List<TimelineReport.Entry> entries = new ArrayList<>();
    for (int i = 0; i < wallMs.length; i++) {
      entries.add(
          new TimelineReport.Entry(i + 1L, wallMs[i], "FAULT", null, null, null, null, null));
    }
    TimelineReport report = new TimelineReport(process, 0, wallMs.length, 0, 0, entries);
    return new MergedTimeline.Source(report, new ClockOffset(aheadMs, 1));
  }

  private static List<String> order(MergedTimeline.Source... sources) {
    return MergedTimeline.of(List.of(sources)).lines().stream()
        .filter(line -> !line.startsWith("#"))
        .map(line -> line.split(" ", -1)[1])
        .toList();
  }

  @Nested
  class Order {

    /**
     * Guards against a merge by uncorrected wall times: with the second daemon's clock 5 s ahead,
     * its first event would appear after its effects.
     */
    @Test
    void eventsAreInTheOrderOfTheReadersClock() {
      assertThat(order(source("a", 0, 1_000, 1_020), source("b", 5_000, 6_010, 6_030)))
          .containsExactly("a#1", "b#1", "a#2", "b#2");
    }

    /**
     * Guards against a merge by time alone: if a host's clock is set back by 1 s between two
     * events, the effect would appear before its cause. The sequence numbers of a process are
     * always in order.
     */
    @Test
    void clockSetBackDoesNotReorderAProcess() {
      assertThat(order(source("a", 0, 2_000, 1_000, 1_500), source("b", 0, 1_700)))
          .containsExactly("b#1", "a#1", "a#2", "a#3");
    }
  }

  @Test
  void linesShowClockOffsetsAndEventCounts() {
    TimelineReport report = new TimelineReport("a", 0, 150, 50, 7, List.of());
    MergedTimeline merged =
        MergedTimeline.of(List.of(new MergedTimeline.Source(report, new ClockOffset(-12, 3))));

    assertThat(merged.lines())
        .containsExactly(
            "# a: clock -12 ms ahead, +-3 ms; 150 events recorded, 50 overwritten, 7 older ones omitted");
    assertThat(merged.json()).contains("\"aheadMs\":-12", "\"overwritten\":50");
  }

  @Property(tries = 500, seed = "4")
  void trueOffsetLiesWithinTheUncertainty(
      @ForAll @IntRange(min = -100_000, max = 100_000) int ahead,
      @ForAll @IntRange(max = 500) int thereMs,
      @ForAll @IntRange(max = 500) int backMs) {
    long sent = 1_000_000;
    ClockOffset offset = ClockOffset.of(sent, sent + thereMs + ahead, sent + thereMs + backMs);

    assertThat(Math.abs(offset.aheadMs() - ahead)).isLessThanOrEqualTo(offset.uncertaintyMs());
  }
}
