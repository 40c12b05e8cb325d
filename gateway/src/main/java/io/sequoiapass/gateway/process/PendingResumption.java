package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.gateway.request.CallerExchange;
import io.sequoiapass.gateway.request.RelayContext;
import io.sequoiapass.gateway.request.StoppableRequest;
import io.sequoiapass.gateway.version.StreamVersion;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A request that continues a stream, until it is known who began the stream. Peers and the store
 * are asked for that; whatever they do, the wait ends with the caller's deadline and with the
 * process.
 *
 * <p>Safe for use by several threads.
 */
final class PendingResumption implements StoppableRequest {

  private final RelayContext context;
  private final CallerExchange exchange;
  private final TaskGuard guard;
  private final Outcome outcome;
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile Future<?> deadline;

  /**
   * What follows the wait; one of the methods is called, unless the caller has left, and {@code
   * ended} in any case.
   */
  interface Outcome {

    /** Starts the request. */
    void found(StreamVersion version);

    /** Responds with an error. */
    void refused(ErrorKind kind);

    /** Records that the wait has ended. */
    void ended();
  }

  /**
   * Creates a wait that has not started.
   *
   * @param context the dependencies that all requests share
   * @param exchange the request
   * @param guard records exceptions
   * @param outcome what follows the wait
   */
  PendingResumption(
      RelayContext context, CallerExchange exchange, TaskGuard guard, Outcome outcome) {
    this.context = context;
    this.exchange = exchange;
    this.guard = guard;
    this.outcome = outcome;
  }

  /** Waits for the result of a search. */
  void start(CompletableFuture<Optional<StreamVersion>> search) {
    context.stop().opened(this);
    long leftMs = exchange.origin().deadlineAt() - context.clock().millis();
    deadline =
        context
            .loop()
            .schedule(
                () -> refuse(ErrorKind.DEADLINE_UNREACHABLE),
                Math.max(0, leftMs),
                TimeUnit.MILLISECONDS);
    if (ended.get()) {
      deadline.cancel(false);
    }
    exchange.responder().onClose(() -> end(exchange.access().notRun()));
    search.whenComplete((found, failure) -> searched(failure == null ? found : Optional.empty()));
  }

  private void searched(Optional<StreamVersion> found) {
    context
        .metrics()
        .count("sequoiapass_resumptions_total{version_known=\"" + found.isPresent() + "\"}");
    if (found.isPresent()) {
      end(() -> outcome.found(found.get()));
    } else {
      refuse(ErrorKind.STREAM_NOT_RESUMABLE);
    }
  }

  private void refuse(ErrorKind kind) {
    end(
        () -> {
          exchange.access().notRun().run();
          outcome.refused(kind);
        });
  }

  /** Ends the wait with an action, unless it has ended. */
  private void end(Runnable action) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    Future<?> timer = deadline;
    if (timer != null) {
      // Without one, another thread ends the wait while it starts.
      timer.cancel(false);
    }
    context.stop().ended(this);
    if (!guard.run("resumption", action)) {
      guard.run("resumption", () -> outcome.refused(ErrorKind.INTERNAL));
    }
    outcome.ended();
  }

  /** It waits for a search, not for an endpoint. */
  @Override
  public void dispatchIfWaiting() {}

  /** Its search may end at any moment. */
  @Override
  public void rejectIfLate() {}

  @Override
  public void endForStop() {
    refuse(ErrorKind.DRAINING);
  }
}
