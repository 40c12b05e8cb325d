package io.sequoiapass.daemon.process.timeline;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes one thing that happened in one process.
 *
 * <pre>{@code
 * timeline.record(TimelineEvent.of(TimelineKind.LOAD_DONE)
 *     .adapter(notes)
 *     .endpoint(endpoint)
 *     .cause(order)
 *     .build());
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param kind what happened
 * @param wallMs when, by the wall clock of the process; 0 until the time line sets it
 * @param sequence the event's place in its time line; 0 until the time line sets it
 * @param request the request it belongs to
 * @param adapter the adapter and version it is about
 * @param endpoint the endpoint it is about
 * @param cause what it came from
 * @param detail further words, perhaps empty
 */
public record TimelineEvent(
    TimelineKind kind,
    long wallMs,
    long sequence,
    Optional<RequestId> request,
    Optional<AdapterVersion> adapter,
    Optional<EndpointId> endpoint,
    Optional<CauseId> cause,
    String detail) {

  /** Longest detail, so that the memory of a time line is bounded. */
  static final int MAX_DETAIL = 200;

  /** Checks that all parts are there and cuts the detail to its bound. */
  public TimelineEvent {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(cause, "cause");
    Objects.requireNonNull(detail, "detail");
    detail = detail.length() <= MAX_DETAIL ? detail : detail.substring(0, MAX_DETAIL);
  }

  /**
   * Returns a builder of an event.
   *
   * @param kind what happened
   */
  public static Builder of(TimelineKind kind) {
    return new Builder(kind);
  }

  TimelineEvent at(long wall, long place) {
    return new TimelineEvent(kind, wall, place, request, adapter, endpoint, cause, detail);
  }

  /** Builds an event; not safe for use by several threads. */
  public static final class Builder {

    private final TimelineKind kind;
    private Optional<RequestId> request = Optional.empty();
    private Optional<AdapterVersion> adapter = Optional.empty();
    private Optional<EndpointId> endpoint = Optional.empty();
    private Optional<CauseId> cause = Optional.empty();
    private String detail = "";

    private Builder(TimelineKind kind) {
      this.kind = Objects.requireNonNull(kind, "kind");
    }

    /**
     * Sets the request.
     *
     * @param id the request
     */
    public Builder request(RequestId id) {
      request = Optional.of(id);
      return this;
    }

    /**
     * Sets the adapter and version.
     *
     * @param id the adapter and version
     */
    public Builder adapter(AdapterVersion id) {
      adapter = Optional.of(id);
      return this;
    }

    /**
     * Sets the endpoint.
     *
     * @param id the endpoint
     */
    public Builder endpoint(EndpointId id) {
      endpoint = Optional.of(id);
      return this;
    }

    /**
     * Sets what the event came from.
     *
     * @param id the cause
     */
    public Builder cause(CauseId id) {
      cause = Optional.of(id);
      return this;
    }

    /**
     * Sets further words.
     *
     * @param words the words; cut to 200 characters
     */
    public Builder detail(String words) {
      detail = words;
      return this;
    }

    /** Returns the event. */
    public TimelineEvent build() {
      return new TimelineEvent(kind, 0, 0, request, adapter, endpoint, cause, detail);
    }
  }
}
