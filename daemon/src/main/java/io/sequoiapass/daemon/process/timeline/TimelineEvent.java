package io.sequoiapass.daemon.process.timeline;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.Objects;
import java.util.Optional;

/**
 * One event in one process.
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
 * @param kind the kind of event
 * @param wallMs the time, in milliseconds of the process's wall clock; 0 until it is recorded
 * @param sequence the event's sequence number in its timeline; 0 until it is recorded
 * @param request the request that it belongs to
 * @param adapter the adapter version concerned
 * @param endpoint the endpoint concerned
 * @param cause what caused it
 * @param detail further text, possibly empty
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

  /** Maximum length of a detail, in characters; bounds the memory of a timeline. */
  static final int MAX_DETAIL = 200;

  /** Checks that no component is null and truncates the detail to its maximum length. */
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
   * @param kind the kind of event
   */
  public static Builder of(TimelineKind kind) {
    return new Builder(kind);
  }

  /** Returns the event with its time and sequence number set. */
  TimelineEvent stamped(long wall, long number) {
    return new TimelineEvent(kind, wall, number, request, adapter, endpoint, cause, detail);
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
     * Sets the adapter version.
     *
     * @param id the adapter version
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
     * Sets the cause of the event.
     *
     * @param id the cause
     */
    public Builder cause(CauseId id) {
      cause = Optional.of(id);
      return this;
    }

    /**
     * Sets the detail.
     *
     * @param text the detail; truncated to 200 characters
     */
    public Builder detail(String text) {
      detail = text;
      return this;
    }

    /** Returns the event. */
    public TimelineEvent build() {
      return new TimelineEvent(kind, 0, 0, request, adapter, endpoint, cause, detail);
    }
  }
}
