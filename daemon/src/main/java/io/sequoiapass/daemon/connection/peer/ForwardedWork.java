package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.Priority;
import java.util.Optional;

/** Work for an endpoint. Immutable and safe for use by several threads. */
public sealed interface ForwardedWork {

  /** Returns the priority of the work. */
  Priority priority();

  /**
   * A completion on an engine.
   *
   * @param adapter the adapter and version
   * @param model the base model
   * @param priority the priority
   * @param service the service on whose behalf it runs, if the caller gave one
   * @param prompt the prompt
   * @param maxTokens maximum number of tokens to generate
   * @param resumeFrom index of the first token to send; above 0 only if a stream is resumed
   */
  record Completion(
      AdapterVersion adapter,
      ModelId model,
      Priority priority,
      Optional<ServiceId> service,
      String prompt,
      int maxTokens,
      int resumeFrom)
      implements ForwardedWork {

    /** Creates a completion for a caller that gave no service. */
    public Completion(
        AdapterVersion adapter,
        ModelId model,
        Priority priority,
        String prompt,
        int maxTokens,
        int resumeFrom) {
      this(adapter, model, priority, Optional.empty(), prompt, maxTokens, resumeFrom);
    }
  }

  /**
   * A call of a plain service.
   *
   * @param priority the priority
   * @param method the HTTP method
   * @param path path and query
   * @param contentType the body's content type
   * @param idempotencyKey the caller's idempotency key; empty if none
   * @param body the body
   */
  @SuppressWarnings("ArrayRecordComponent")
  record ServiceCall(
      Priority priority,
      String method,
      String path,
      String contentType,
      String idempotencyKey,
      byte[] body)
      implements ForwardedWork {}
}
