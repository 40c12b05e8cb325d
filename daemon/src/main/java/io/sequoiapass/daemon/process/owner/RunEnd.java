package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.engine.EngineRefusal;
import io.sequoiapass.daemon.request.EngineRelay;
import io.sequoiapass.daemon.request.Execution;

/**
 * Hears how a run on an engine ended, and tells the shard that it belongs to.
 *
 * <p>Called on event loops; takes the shard's lock.
 */
final class RunEnd implements EngineRelay.End {

  /** Two tries: the second catches a connection that was cut just when the first one opened. */
  private static final int MAX_RESUMES = 2;

  private final OwnerShard shard;
  private final EngineRuns runs;
  private final Execution execution;
  private final EngineWatch watch;
  private final int resumes;

  RunEnd(OwnerShard shard, EngineRuns runs, Execution execution, EngineWatch watch, int resumes) {
    this.shard = shard;
    this.runs = runs;
    this.execution = execution;
    this.watch = watch;
    this.resumes = resumes;
  }

  @Override
  public void whole(AdapterVersion ranOn, int tokens) {
    shard.locked(() -> shard.whole(execution, ranOn, tokens));
  }

  @Override
  public void refused(EngineRefusal refusal) {
    shard.locked(
        () -> {
          if (execution.stage() != Execution.Stage.RUNNING) {
            return;
          }
          shard.finished(execution);
          if (refusal == EngineRefusal.NO_SUCH_STREAM) {
            execution.lost();
          } else {
            execution.refuse(Refusals.kindOf(refusal), true, 0);
          }
          if (refusal == EngineRefusal.NOT_LOADED) {
            watch.lookNow();
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
            watch.lookNow();
            shard.finished(execution);
            execution.refuse(ErrorKind.ENDPOINT_LOST_BEFORE_START, false, 0);
          } else if (resumable && resumes < MAX_RESUMES) {
            runs.resume(execution, watch, next, resumes + 1);
          } else {
            watch.lookNow();
            shard.finished(execution);
            execution.lost();
          }
        });
  }
}
