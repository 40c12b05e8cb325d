package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.Priority;
import java.util.Optional;

/** Is what an endpoint is asked to run; immutable and safe for use by several threads. */
public sealed interface ForwardedWork {

  /** Returns how urgent the work is. */
  Priority priority();

  /**
   * Runs a completion on an engine.
   *
   * @param adapter the adapter and version
   * @param model the base model
   * @param priority how urgent it is
   * @param service the service on whose behalf it runs, if the caller named one
   * @param prompt the prompt
   * @param maxTokens the most tokens to generate
   * @param resumeFrom index of the first token wanted; more than 0 only when a stream is resumed
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

    /** Creates work of a caller that names no service. */
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
   * Calls a plain service.
   *
   * @param priority how urgent it is
   * @param method the HTTP method
   * @param path path and query
   * @param contentType the body's content type
   * @param idempotencyKey the caller's key, or empty
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
