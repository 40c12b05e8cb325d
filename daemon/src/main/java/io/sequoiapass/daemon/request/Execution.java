package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.HttpStream;
import io.sequoiapass.daemon.connection.engine.EngineRun;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import io.sequoiapass.daemon.process.placement.PlacementAction;
import java.util.List;

/**
 * State of one attempt at its owner, from its arrival until its last frame.
 *
 * <p>Guarded by the lock of its shard, except for the reply channel, which is safe for use by
 * several threads.
 */
public final class Execution {

  /** Stage of an attempt. */
  public enum Stage {
    /** Waits for a stream slot on an endpoint. */
    QUEUED,
    /** Has a stream slot and waits for the entry's grant. */
    AWAITING_GRANT,
    /** Has been written to the endpoint. */
    RUNNING,
    /** Has ended. */
    ENDED
  }

  private final PeerMessage.Forward forward;
  private final PeerChannel replies;
  private final long arrivedAtMs;
  private Stage stage = Stage.QUEUED;
  private long startedAtMs;
  private PlacementAction.Start assignment;
  private HttpStream stream;
  private boolean paused;

  /**
   * Creates a queued attempt.
   *
   * @param forward the entry's message
   * @param replies the channel to the entry
   * @param nowMs the current time
   */
  public Execution(PeerMessage.Forward forward, PeerChannel replies, long nowMs) {
    this.forward = forward;
    this.replies = replies;
    this.arrivedAtMs = nowMs;
    this.startedAtMs = nowMs;
  }

  /** Returns the entry's message. */
  public PeerMessage.Forward forward() {
    return forward;
  }

  /** Returns the id of the attempt. */
  public AttemptId id() {
    return forward.id();
  }

  /** Returns the completion to run. */
  public ForwardedWork.Completion completion() {
    return (ForwardedWork.Completion) forward.work();
  }

  /** Returns the channel to the entry. */
  public PeerChannel replies() {
    return replies;
  }

  /** Sets the stream slot that placement assigned. */
  public void assign(PlacementAction.Start start) {
    assignment = start;
  }

  /** Returns the stream slot that placement assigned; null while the attempt waits. */
  public PlacementAction.Start assignment() {
    return assignment;
  }

  /** Returns its endpoint; an attempt attached to an existing stream has no slot of its own. */
  public EndpointId endpoint() {
    return assignment == null ? forward.endpoint() : assignment.endpoint();
  }

  /**
   * Returns the engine request for the attempt.
   *
   * @param handle the loaded adapter to run on
   */
  public EngineRun run(LoadHandle handle) {
    ForwardedWork.Completion work = completion();
    return new EngineRun(
        id().request().value(),
        id().attempt(),
        work.adapter().adapter().value(),
        work.adapter().version().value(),
        handle.value(),
        work.prompt(),
        work.maxTokens(),
        work.priority().rank(),
        work.resumeFrom());
  }

  /** Returns the stage. */
  public Stage stage() {
    return stage;
  }

  /** Records that the grant was requested from the entry. */
  public void markAwaitingGrant() {
    stage = Stage.AWAITING_GRANT;
  }

  /** Records that the attempt is being written to the endpoint. */
  public void markRunning(long nowMs) {
    stage = Stage.RUNNING;
    startedAtMs = nowMs;
  }

  /** Ends the attempt; returns false if it had already ended. */
  public boolean end() {
    if (stage == Stage.ENDED) {
      return false;
    }
    stage = Stage.ENDED;
    return true;
  }

  /** Returns the time from arrival until it was written to the endpoint, in milliseconds. */
  public long waitedMs() {
    return startedAtMs - arrivedAtMs;
  }

  /** Returns the time since its arrival, in milliseconds. */
  public long ageMs(long nowMs) {
    return nowMs - arrivedAtMs;
  }

  /** Returns the time since it was written to the endpoint, in milliseconds. */
  public long ranMs(long nowMs) {
    return nowMs - startedAtMs;
  }

  /** Returns the time left until its deadline, in milliseconds; at least 1. */
  public long remainingMs(long nowMs) {
    return Math.max(1, forward.remainingMs() - (nowMs - arrivedAtMs));
  }

  /** Returns whether its deadline has passed. */
  public boolean isDeadlinePassed(long nowMs) {
    return nowMs - arrivedAtMs >= forward.remainingMs();
  }

  /** Sets the stream on which its answer arrives. */
  public void stream(HttpStream opened) {
    stream = opened;
    if (paused) {
      opened.pause();
    }
  }

  /** Pauses or resumes reading of its answer. */
  public void pause(boolean pause) {
    paused = pause;
    if (stream == null) {
      return;
    }
    if (pause) {
      stream.pause();
    } else {
      stream.resume();
    }
  }

  /** Cancels the stream of its answer. */
  public void cancelStream() {
    if (stream != null) {
      stream.cancel();
    }
  }

  /** Notifies the entry that the complete answer has been forwarded. */
  public void sendFinished(AdapterVersion ranOn, int tokens, List<EndpointLoad> load) {
    replies.send(new PeerMessage.Finished(id(), ranOn, tokens, waitedMs(), load));
  }

  /** Notifies the entry that the attempt did not run and will not run. */
  public void sendRefused(ErrorKind kind, boolean byEndpoint, long comeBackMs) {
    replies.send(new PeerMessage.Refused(id(), kind, byEndpoint, comeBackMs));
  }

  /** Notifies the entry that the attempt may have run but has no complete answer. */
  public void sendEndpointLost() {
    replies.send(new PeerMessage.EndpointLost(id()));
  }
}
