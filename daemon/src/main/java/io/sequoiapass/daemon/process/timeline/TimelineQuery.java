package io.sequoiapass.daemon.process.timeline;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.daemon.request.RequestIds;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Filter for timeline events by request, adapter, endpoint, kind and time.
 *
 * <pre>{@code
 * TimelineQuery query = TimelineQuery.parse(httpRequest::query);
 * String json = timeline.json(query);
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class TimelineQuery {

  /**
   * Most events in one answer unless the query sets another limit. The answer is written on an
   * event loop that also serves requests: a full ring would delay them by many milliseconds.
   */
  static final int DEFAULT_LIMIT = 2_000;

  private static final int MAX_LIMIT = 1_000_000;

  /** Selects every event, up to the limit. */
  public static final TimelineQuery ALL =
      new TimelineQuery(
          Long.MIN_VALUE,
          Long.MAX_VALUE,
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          EnumSet.allOf(TimelineKind.class),
          DEFAULT_LIMIT);

  private final long since;
  private final long until;
  private final Optional<String> request;
  private final Optional<String> adapter;
  private final Optional<String> endpoint;
  private final Set<TimelineKind> kinds;
  private final int limit;

  private TimelineQuery(
      long since,
      long until,
      Optional<String> request,
      Optional<String> adapter,
      Optional<String> endpoint,
      Set<TimelineKind> kinds,
      int limit) {
    this.since = since;
    this.until = until;
    this.request = request;
    this.adapter = adapter;
    this.endpoint = endpoint;
    this.kinds = kinds;
    this.limit = limit;
  }

  /**
   * Parses a query from named filters: {@code since} and {@code until} in milliseconds of the wall
   * clock, {@code request}, {@code adapter} (with or without {@code @version}), {@code endpoint},
   * {@code kind} (several separated by commas), and {@code limit}.
   *
   * @param filters returns the text of a filter, or empty if it is not given
   * @throws InvalidQueryException if the value of a filter is invalid
   */
  public static TimelineQuery parse(Function<String, Optional<String>> filters)
      throws InvalidQueryException {
    return new TimelineQuery(
        time("since", filters.apply("since"), Long.MIN_VALUE),
        time("until", filters.apply("until"), Long.MAX_VALUE),
        filters.apply("request"),
        filters.apply("adapter"),
        filters.apply("endpoint"),
        kinds(filters.apply("kind")),
        limit(filters.apply("limit")));
  }

  private static long time(String name, Optional<String> text, long absent)
      throws InvalidQueryException {
    if (text.isEmpty()) {
      return absent;
    }
    try {
      return Long.parseLong(text.get());
    } catch (NumberFormatException e) {
      throw new InvalidQueryException(name, text.get(), "milliseconds since 1970");
    }
  }

  private static int limit(Optional<String> text) throws InvalidQueryException {
    if (text.isEmpty()) {
      return DEFAULT_LIMIT;
    }
    if (text.get().matches("[0-9]{1,7}")) {
      int limit = Integer.parseInt(text.get());
      if (limit >= 1 && limit <= MAX_LIMIT) {
        return limit;
      }
    }
    throw new InvalidQueryException("limit", text.get(), "1 to " + MAX_LIMIT);
  }

  private static Set<TimelineKind> kinds(Optional<String> text) throws InvalidQueryException {
    if (text.isEmpty()) {
      return EnumSet.allOf(TimelineKind.class);
    }
    Set<TimelineKind> kinds = EnumSet.noneOf(TimelineKind.class);
    for (String name : text.get().split(",", -1)) {
      kinds.add(kind(name.strip()));
    }
    return kinds;
  }

  private static TimelineKind kind(String name) throws InvalidQueryException {
    for (TimelineKind kind : TimelineKind.values()) {
      if (kind.name().equals(name)) {
        return kind;
      }
    }
    throw new InvalidQueryException("kind", name, Arrays.toString(TimelineKind.values()));
  }

  /** Returns the maximum number of events in one answer; the newest are kept. */
  int limit() {
    return limit;
  }

  boolean matches(TimelineEvent event) {
    return event.wallMs() >= since
        && event.wallMs() <= until
        && kinds.contains(event.kind())
        && (request.isEmpty() || event.request().filter(this::isRequest).isPresent())
        && matches(endpoint, event.endpoint().map(id -> id.value()))
        && (adapter.isEmpty() || event.adapter().filter(this::isAdapter).isPresent());
  }

  /** Matches the full id or the caller's own id, which is the first part of it. */
  private boolean isRequest(RequestId id) {
    String wanted = request.orElseThrow();
    return id.value().equals(wanted) || RequestIds.callerIdOf(id).equals(wanted);
  }

  private boolean isAdapter(AdapterVersion id) {
    String wanted = adapter.orElseThrow();
    return wanted.equals(id.toString()) || wanted.equals(id.adapter().value());
  }

  private static boolean matches(Optional<String> wanted, Optional<String> found) {
    return wanted.isEmpty() || wanted.equals(found);
  }
}
