package io.sequoiapass.daemon.process.timeline;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.MillisClock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Remembers the last events of one process in bounded memory.
 *
 * <pre>{@code
 * Timeline timeline = Timeline.create(settings.daemon(), settings.timelineEvents(), MillisClock.wall());
 * timeline.record(TimelineEvent.of(TimelineKind.REQUEST_ACCEPTED).request(id).build());
 * }</pre>
 *
 * <p>Safe for use by several threads; recording takes no lock, so it may be done under a shard's.
 */
public final class Timeline {

  private final DaemonId process;
  private final MillisClock wall;
  private final AtomicReferenceArray<TimelineEvent> ring;
  private final AtomicLong recorded = new AtomicLong();

  private Timeline(DaemonId process, int capacity, MillisClock wall) {
    this.process = process;
    this.wall = wall;
    this.ring = new AtomicReferenceArray<>(capacity);
  }

  /**
   * Returns an empty time line.
   *
   * @param process the daemon it belongs to
   * @param capacity how many events it holds; the oldest are overwritten
   * @param wall the wall clock
   */
  public static Timeline create(DaemonId process, int capacity, MillisClock wall) {
    if (capacity <= 0) {
      throw new IllegalArgumentException("capacity must be positive: " + capacity);
    }
    return new Timeline(
        Objects.requireNonNull(process, "process"), capacity, Objects.requireNonNull(wall, "wall"));
  }

  /**
   * Records an event, with the time and the next sequence.
   *
   * @param event the event
   */
  public void record(TimelineEvent event) {
    long sequence = recorded.incrementAndGet();
    TimelineEvent placed = event.at(wall.millis(), sequence);
    ring.accumulateAndGet(slot(sequence), placed, Timeline::newer);
  }

  private int slot(long sequence) {
    return (int) (sequence % ring.length());
  }

  /**
   * A thread held up between taking its sequence and writing it may come a whole turn of the ring
   * late. Its old event would then hide a newer one; keeping the newer loses only the old event,
   * which the ring would have overwritten anyway.
   */
  private static TimelineEvent newer(TimelineEvent held, TimelineEvent given) {
    return held == null || held.sequence() < given.sequence() ? given : held;
  }

  /**
   * Returns the events that a query selects, in the order of their sequence and without its limit.
   *
   * @param query the query
   */
  public List<TimelineEvent> events(TimelineQuery query) {
    List<TimelineEvent> found = new ArrayList<>();
    for (int i = 0; i < ring.length(); i++) {
      TimelineEvent event = ring.get(i);
      if (event != null && query.matches(event)) {
        found.add(event);
      }
    }
    found.sort(Comparator.comparingLong(TimelineEvent::sequence));
    return found;
  }

  /**
   * Returns the answer to {@code GET /timeline}.
   *
   * @param query the query
   */
  public String json(TimelineQuery query) {
    List<TimelineEvent> found = events(query);
    int omitted = Math.max(0, found.size() - query.limit());
    List<TimelineReport.Entry> entries =
        found.stream().skip(omitted).map(TimelineReport.Entry::of).toList();
    long total = recorded.get();
    long overwritten = Math.max(0, total - ring.length());
    return new TimelineReport(process.value(), wall.millis(), total, overwritten, omitted, entries)
        .json();
  }
}
