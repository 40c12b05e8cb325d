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
 * Sends the attempts of one shard to their engines, resumes their streams and cancels them.
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

  /**
   * Cancels a run. Its stream capacity stays in use until the engine confirms that the stream has
   * ended, since it may still be served.
   */
  void cancel(Execution execution) {
    if (!execution.end()) {
      return;
    }
    execution.cancelStream();
    EngineMonitor monitor = shard.monitor(execution.endpoint());
    if (monitor == null) {
      shard.remove(execution);
      return;
    }
    engines
        .cancel(monitor.endpoint().address(), execution.id().request())
        .whenComplete(
            (done, failure) ->
                shard.locked(
                    () -> {
                      if (failure == null) {
                        shard.finish(execution);
                      } else {
                        monitor.schedulePoll();
                        shard.remove(execution);
                      }
                    }));
  }

  void write(Execution execution, PlacementAction.Start start) {
    EngineMonitor monitor = shard.monitor(start.endpoint());
    if (monitor == null) {
      shard.finish(execution);
      execution.sendRefused(ErrorKind.DRAINING, false, 0);
      return;
    }
    long now = clock.millis();
    execution.markRunning(now);
    Completion work = execution.completion();
    observer.started(execution.id(), work.adapter(), start.endpoint(), execution.waitedMs());
    EngineRun run = execution.run(start.handle());
    EngineRelay relay =
        new EngineRelay(
            execution, work.resumeFrom(), new RunEndListener(shard, this, execution, monitor, 0));
    execution.stream(
        engines.complete(monitor.endpoint().address(), run, execution.remainingMs(now), relay));
  }

  void attach(Execution execution, EngineMonitor monitor) {
    execution.markRunning(clock.millis());
    resume(execution, monitor, execution.completion().resumeFrom(), 0);
  }

  void resume(Execution execution, EngineMonitor monitor, int from, int tries) {
    EngineRelay relay =
        new EngineRelay(
            execution, from, new RunEndListener(shard, this, execution, monitor, tries));
    execution.stream(
        engines.resume(
            monitor.endpoint().address(),
            execution.id().request(),
            from,
            execution.remainingMs(clock.millis()),
            relay));
  }
}
