package io.sequoiapass.daemon.process.timeline;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TimelineTest {

  private static final DaemonId PROCESS = new DaemonId("entry-1");

  private static TimelineEvent event() {
    return TimelineEvent.of(TimelineKind.FAULT).build();
  }

  @Property(tries = 100, seed = "3")
  void ringHoldsExactlyTheLastEventsInOrder(
      @ForAll @IntRange(min = 1, max = 40) int capacity,
      @ForAll @IntRange(max = 200) int recorded) {
    Timeline timeline = Timeline.create(PROCESS, capacity, () -> 5);

    for (int i = 0; i < recorded; i++) {
      timeline.record(event());
    }

    long first = Math.max(1, recorded - capacity + 1);
    assertThat(timeline.events(TimelineQuery.ALL))
        .extracting(TimelineEvent::sequence)
        .containsExactlyElementsOf(LongStream.rangeClosed(first, recorded).boxed().toList());
  }

  @Test
  void concurrentRecordingLosesNoRecentEvent() throws Exception {
    int threads = 4;
    int eventsPerThread = 20_000;
    int capacity = 512;
    Timeline timeline = Timeline.create(PROCESS, capacity, () -> 5);
    ExecutorService pool = Executors.newFixedThreadPool(threads);
    List<Future<Integer>> futures = new ArrayList<>();
    for (int t = 0; t < threads; t++) {
      Callable<Integer> work =
          () -> {
            for (int i = 0; i < eventsPerThread; i++) {
              timeline.record(event());
            }
            return eventsPerThread;
          };
      futures.add(pool.submit(work));
    }
    for (Future<Integer> future : futures) {
      assertThat(future.get(10, TimeUnit.SECONDS)).isEqualTo(eventsPerThread);
    }
    pool.shutdown();

    long total = (long) threads * eventsPerThread;
    assertThat(timeline.events(TimelineQuery.ALL))
        .extracting(TimelineEvent::sequence)
        .containsExactlyElementsOf(
            LongStream.rangeClosed(total - capacity + 1, total).boxed().toList());
  }

  /**
   * A thread takes its sequence number and is delayed before it writes, while other threads record
   * enough events to wrap around the ring. Its old event must not replace a newer one, or an
   * operator would not find the latest events.
   */
  @Test
  void eventWrittenAfterAWraparoundDoesNotReplaceANewerOne() {
    AtomicReference<Timeline> timelineReference = new AtomicReference<>();
    AtomicBoolean first = new AtomicBoolean(true);
    Timeline timeline =
        Timeline.create(
            PROCESS,
            2,
            () -> {
              if (first.getAndSet(false)) {
                timelineReference.get().record(event());
                timelineReference.get().record(event());
              }
              return 5;
            });
    timelineReference.set(timeline);

    timeline.record(event());

    assertThat(timeline.events(TimelineQuery.ALL))
        .extracting(TimelineEvent::sequence)
        .containsExactly(2L, 3L);
  }

  @Test
  void longDetailIsTruncated() {
    TimelineEvent event = TimelineEvent.of(TimelineKind.FAULT).detail("x".repeat(900)).build();

    assertThat(event.detail()).hasSize(200);
  }

  @Nested
  class Queries {

    private final AtomicLong wall = new AtomicLong(1_000);
    private final Timeline timeline = Timeline.create(PROCESS, 10, wall::get);

    private List<Long> sequencesMatching(Map<String, String> filters) throws InvalidQueryException {
      TimelineQuery query = TimelineQuery.parse(name -> Optional.ofNullable(filters.get(name)));
      return timeline.events(query).stream().map(TimelineEvent::sequence).toList();
    }

    private void recordThree() {
      timeline.record(
          TimelineEvent.of(TimelineKind.REQUEST_STARTED)
              .request(new RequestId("r1"))
              .adapter(AdapterVersion.parse("notes@v7"))
              .endpoint(new EndpointId("engine-1"))
              .cause(new CauseId("order-9"))
              .build());
      wall.set(2_000);
      timeline.record(
          TimelineEvent.of(TimelineKind.LOAD_DONE)
              .adapter(AdapterVersion.parse("notes@v6"))
              .build());
      wall.set(3_000);
      timeline.record(TimelineEvent.of(TimelineKind.FAULT).request(new RequestId("r2")).build());
    }

    @Test
    void requestIsFoundByTheCallersOwnId() throws InvalidQueryException {
      timeline.record(
          TimelineEvent.of(TimelineKind.FAULT).request(new RequestId("slip-7~d1.abc.2")).build());
      assertThat(sequencesMatching(Map.of("request", "slip-7"))).hasSize(1);
      assertThat(sequencesMatching(Map.of("request", "slip"))).isEmpty();
    }

    @Test
    void filtersSelectMatchingEvents() throws InvalidQueryException {
      recordThree();

      assertThat(sequencesMatching(Map.of())).containsExactly(1L, 2L, 3L);
      assertThat(sequencesMatching(Map.of("request", "r1"))).containsExactly(1L);
      assertThat(sequencesMatching(Map.of("adapter", "notes"))).containsExactly(1L, 2L);
      assertThat(sequencesMatching(Map.of("adapter", "notes@v6"))).containsExactly(2L);
      assertThat(sequencesMatching(Map.of("endpoint", "engine-1"))).containsExactly(1L);
      assertThat(sequencesMatching(Map.of("kind", "FAULT,LOAD_DONE"))).containsExactly(2L, 3L);
      assertThat(sequencesMatching(Map.of("since", "2000", "until", "2999"))).containsExactly(2L);
    }

    @Test
    void invalidFilterIsReportedWithItsValueAndWhatIsAllowed() {
      assertThatThrownBy(() -> sequencesMatching(Map.of("kind", "FALUT")))
          .hasMessageStartingWith("kind: 'FALUT' is wrong; allowed: [REQUEST_ACCEPTED, ");
      assertThatThrownBy(() -> sequencesMatching(Map.of("since", "noon")))
          .hasMessage("since: 'noon' is wrong; allowed: milliseconds since 1970");
    }

    @Test
    void limitKeepsTheNewestAndCountsTheOmitted() throws InvalidQueryException {
      recordThree();
      Map<String, String> filters = Map.of("limit", "1", "until", "2999");
      TimelineQuery query = TimelineQuery.parse(name -> Optional.ofNullable(filters.get(name)));

      TimelineReport report = TimelineReport.parse(timeline.json(query));

      assertThat(report.events()).extracting(TimelineReport.Entry::sequence).containsExactly(2L);
      assertThat(report.omitted()).isEqualTo(1);
      assertThatThrownBy(() -> sequencesMatching(Map.of("limit", "0")))
          .hasMessage("limit: '0' is wrong; allowed: 1 to 1000000");
    }

    @Test
    void jsonRoundTrips() {
      recordThree();

      TimelineReport report = TimelineReport.parse(timeline.json(TimelineQuery.ALL));

      assertThat(report.process()).isEqualTo("entry-1");
      assertThat(report.nowMs()).isEqualTo(3_000);
      assertThat(report.events().get(0))
          .isEqualTo(
              new TimelineReport.Entry(
                  1, 1_000, "REQUEST_STARTED", "r1", "notes@v7", "engine-1", "order-9", null));
    }
  }
}
