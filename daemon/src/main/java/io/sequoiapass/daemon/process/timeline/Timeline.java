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
 * Ring buffer of the most recent events of one process.
 *
 * <pre>{@code
 * Timeline timeline = Timeline.create(settings.daemon(), settings.timelineEvents(), MillisClock.wall());
 * timeline.record(TimelineEvent.of(TimelineKind.REQUEST_ACCEPTED).request(id).build());
 * }</pre>
 *
 * <p>Safe for use by several threads. Recording takes no lock, so events may be recorded while a
 * shard's lock is held.
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
   * Creates an empty timeline.
   *
   * @param process the daemon that it belongs to
   * @param capacity the maximum number of events; the oldest are overwritten
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
   * Records an event with the current time and the next sequence number.
   *
   * @param event the event
   */
  public void record(TimelineEvent event) {
    long sequence = recorded.incrementAndGet();
    TimelineEvent stamped = event.stamped(wall.millis(), sequence);
    ring.accumulateAndGet(slot(sequence), stamped, Timeline::newer);
  }

  private int slot(long sequence) {
    return (int) (sequence % ring.length());
  }

  /**
   * Returns the event with the higher sequence number. A thread that is delayed between taking its
   * number and writing may write after the ring has wrapped around, and its old event would replace
   * a newer one. Keeping the newer loses only an event that would have been overwritten anyway.
   */
  private static TimelineEvent newer(TimelineEvent held, TimelineEvent given) {
    return held == null || held.sequence() < given.sequence() ? given : held;
  }

  /**
   * Returns the events that match a query, by sequence number; the query's limit is not applied.
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
   * Returns the response body of {@code GET /timeline}.
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
