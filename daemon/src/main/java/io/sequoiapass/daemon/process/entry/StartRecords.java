package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.daemon.request.CallerRequest;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Records the starts of requests that carry an idempotency key and may run once at most.
 *
 * <p>Safe for use by several threads; may be called under a shard's lock, and answers outside any.
 */
public interface StartRecords {

  /**
   * Records that a request is about to start.
   *
   * @param request the request, with a key
   * @param answer is told once: empty if it may start, else why not
   */
  void record(CallerRequest request, Consumer<Optional<ErrorKind>> answer);

  /**
   * Records how a request ended, if its start was to be recorded.
   *
   * @param request the request, with a key
   * @param outcome how it ended
   */
  void finished(CallerRequest request, OutcomeClass outcome);
}
