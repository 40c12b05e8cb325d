package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.daemon.request.CallerRequest;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Records the starts of requests that have an idempotency key and may run at most once.
 *
 * <p>Safe for use by several threads. May be called under a shard's lock; replies are delivered
 * without any lock held.
 */
public interface StartRecords {

  /**
   * Records that a request is about to start.
   *
   * @param request the request, with a key
   * @param answer called once, with empty if the request may start, else with the reason
   */
  void record(CallerRequest request, Consumer<Optional<ErrorKind>> answer);

  /**
   * Records the outcome of a request if {@link #record} was called for it.
   *
   * @param request the request, with a key
   * @param outcome the class of its outcome
   */
  void finished(CallerRequest request, OutcomeClass outcome);
}
