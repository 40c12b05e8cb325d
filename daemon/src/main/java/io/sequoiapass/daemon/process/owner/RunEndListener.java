package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.engine.EngineRefusal;
import io.sequoiapass.daemon.request.EngineRelay;
import io.sequoiapass.daemon.request.Execution;

/**
 * Receives the end of a run on an engine and updates the shard that the run belongs to.
 *
 * <p>Called on event loops; takes the shard's lock.
 */
final class RunEndListener implements EngineRelay.EndListener {

  /**
   * Two attempts: the second covers a connection that is cut just when the first one has opened.
   */
  private static final int MAX_RESUMES = 2;

  private final OwnerShard shard;
  private final EngineRuns runs;
  private final Execution execution;
  private final EngineMonitor monitor;
  private final int resumes;

  RunEndListener(
      OwnerShard shard, EngineRuns runs, Execution execution, EngineMonitor monitor, int resumes) {
    this.shard = shard;
    this.runs = runs;
    this.execution = execution;
    this.monitor = monitor;
    this.resumes = resumes;
  }

  @Override
  public void completed(AdapterVersion ranOn, int tokens) {
    shard.locked(() -> shard.complete(execution, ranOn, tokens));
  }

  @Override
  public void refused(EngineRefusal refusal) {
    shard.locked(
        () -> {
          if (execution.stage() != Execution.Stage.RUNNING) {
            return;
          }
          shard.finish(execution);
          if (refusal == EngineRefusal.NO_SUCH_STREAM) {
            execution.sendEndpointLost();
          } else {
            execution.sendRefused(Refusals.kindOf(refusal), true, 0);
          }
          if (refusal == EngineRefusal.NOT_LOADED) {
            monitor.schedulePoll();
          }
        });
  }

  @Override
  public void broken(int next, boolean mayHaveReached, boolean resumable) {
    shard.locked(
        () -> {
          if (execution.stage() != Execution.Stage.RUNNING) {
            return;
          }
          if (!mayHaveReached) {
            monitor.schedulePoll();
            shard.finish(execution);
            execution.sendRefused(ErrorKind.ENDPOINT_LOST_BEFORE_START, false, 0);
          } else if (resumable && resumes < MAX_RESUMES) {
            runs.resume(execution, monitor, next, resumes + 1);
          } else {
            monitor.schedulePoll();
            shard.finish(execution);
            execution.sendEndpointLost();
          }
        });
  }
}
