package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.engine.EngineClient;
import io.sequoiapass.daemon.connection.engine.EngineRun;
import io.sequoiapass.daemon.connection.peer.ForwardedWork.Completion;
import io.sequoiapass.daemon.process.placement.PlacementAction;
import io.sequoiapass.daemon.request.EngineRelay;
import io.sequoiapass.daemon.request.Execution;

/**
 * Writes the attempts of one shard to their engines, reads them on and cancels them.
 *
 * <p>Called under the lock of its shard.
 */
final class EngineRuns {

  private final OwnerShard shard;
  private final MillisClock clock;
  private final EngineClient engines;
  private final OwnerObserver observer;

  EngineRuns(OwnerShard shard, MillisClock clock, EngineClient engines, OwnerObserver observer) {
    this.shard = shard;
    this.clock = clock;
    this.engines = engines;
    this.observer = observer;
  }

  /** The place stays taken until the engine says that the stream is gone: it may still serve. */
  void cancel(Execution execution) {
    if (!execution.end()) {
      return;
    }
    execution.dropStream();
    EngineWatch watch = shard.watch(execution.endpoint());
    if (watch == null) {
      shard.over(execution);
      return;
    }
    engines
        .cancel(watch.endpoint().address(), execution.id().request())
        .whenComplete(
            (done, failure) ->
                shard.locked(
                    () -> {
                      if (failure == null) {
                        shard.finished(execution);
                      } else {
                        watch.lookNow();
                        shard.over(execution);
                      }
                    }));
  }

  void write(Execution execution, PlacementAction.Start start) {
    EngineWatch watch = shard.watch(start.endpoint());
    if (watch == null) {
      shard.finished(execution);
      execution.refuse(ErrorKind.DRAINING, false, 0);
      return;
    }
    long now = clock.millis();
    execution.running(now);
    Completion work = execution.completion();
    observer.started(execution.id(), work.adapter(), start.endpoint(), execution.waitedMs());
    EngineRun run = execution.run(start.handle());
    EngineRelay relay =
        new EngineRelay(execution, work.resumeFrom(), new RunEnd(shard, this, execution, watch, 0));
    execution.stream(
        engines.complete(watch.endpoint().address(), run, execution.remainingMs(now), relay));
  }

  void attach(Execution execution, EngineWatch watch) {
    execution.running(clock.millis());
    resume(execution, watch, execution.completion().resumeFrom(), 0);
  }

  void resume(Execution execution, EngineWatch watch, int from, int tries) {
    EngineRelay relay =
        new EngineRelay(execution, from, new RunEnd(shard, this, execution, watch, tries));
    execution.stream(
        engines.resume(
            watch.endpoint().address(),
            execution.id().request(),
            from,
            execution.remainingMs(clock.millis()),
            relay));
  }
}
