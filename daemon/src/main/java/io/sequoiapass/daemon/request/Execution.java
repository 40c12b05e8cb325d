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
 * Holds one attempt at its owner, from its arrival until its last frame.
 *
 * <p>Guarded by the lock of the shard that it belongs to, but for the reply channel, which is safe
 * for use by several threads.
 */
public final class Execution {

  /** Tells how far an attempt has come. */
  public enum Stage {
    /** Waits for a place on an endpoint. */
    QUEUED,
    /** Has a place and waits for the entry's grant. */
    ASKING,
    /** Was written to the endpoint. */
    RUNNING,
    /** Has ended. */
    OVER
  }

  private final PeerMessage.Forward forward;
  private final PeerChannel replies;
  private final long arrivedAt;
  private Stage stage = Stage.QUEUED;
  private long startedAt;
  private PlacementAction.Start place;
  private HttpStream stream;
  private boolean paused;

  /**
   * Makes an attempt that waits.
   *
   * @param forward what the entry sent
   * @param replies where its frames go
   * @param nowMs the time
   */
  public Execution(PeerMessage.Forward forward, PeerChannel replies, long nowMs) {
    this.forward = forward;
    this.replies = replies;
    this.arrivedAt = nowMs;
    this.startedAt = nowMs;
  }

  /** Returns what the entry sent. */
  public PeerMessage.Forward forward() {
    return forward;
  }

  /** Returns the attempt. */
  public AttemptId id() {
    return forward.id();
  }

  /** Returns the completion to run. */
  public ForwardedWork.Completion completion() {
    return (ForwardedWork.Completion) forward.work();
  }

  /** Returns where its frames go. */
  public PeerChannel replies() {
    return replies;
  }

  /** Takes the place that it was given. */
  public void place(PlacementAction.Start given) {
    place = given;
  }

  /** Returns the place that it was given; null while it waits. */
  public PlacementAction.Start place() {
    return place;
  }

  /** Returns where it runs; an attempt that was attached to a stream has no place of its own. */
  public EndpointId endpoint() {
    return place == null ? forward.endpoint() : place.endpoint();
  }

  /**
   * Returns the call that runs it.
   *
   * @param handle the load to run on
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

  /** Returns how far it has come. */
  public Stage stage() {
    return stage;
  }

  /** Notes that the entry was asked for its grant. */
  public void asking() {
    stage = Stage.ASKING;
  }

  /** Notes that it is written to the endpoint now. */
  public void running(long nowMs) {
    stage = Stage.RUNNING;
    startedAt = nowMs;
  }

  /** Notes that it has ended; returns false if it had ended before. */
  public boolean end() {
    if (stage == Stage.OVER) {
      return false;
    }
    stage = Stage.OVER;
    return true;
  }

  /** Returns how long it waited before it was written to the endpoint, in milliseconds. */
  public long waitedMs() {
    return startedAt - arrivedAt;
  }

  /** Returns how long ago it arrived, in milliseconds. */
  public long agedMs(long nowMs) {
    return nowMs - arrivedAt;
  }

  /** Returns how long ago it was written to the endpoint, in milliseconds. */
  public long ranMs(long nowMs) {
    return nowMs - startedAt;
  }

  /** Returns the milliseconds that its deadline leaves. */
  public long remainingMs(long nowMs) {
    return Math.max(1, forward.remainingMs() - (nowMs - arrivedAt));
  }

  /** Returns whether its deadline has passed. */
  public boolean isLate(long nowMs) {
    return nowMs - arrivedAt >= forward.remainingMs();
  }

  /** Takes the stream that its answer arrives on. */
  public void stream(HttpStream opened) {
    stream = opened;
    if (paused) {
      opened.pause();
    }
  }

  /** Stops or goes on reading its answer. */
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

  /** Stops reading its answer for good. */
  public void dropStream() {
    if (stream != null) {
      stream.cancel();
    }
  }

  /** Tells the entry that the whole answer was handed on. */
  public void whole(AdapterVersion ranOn, int tokens, List<EndpointLoad> load) {
    replies.send(new PeerMessage.Finished(id(), ranOn, tokens, waitedMs(), load));
  }

  /** Tells the entry that it did not run and never will. */
  public void refuse(ErrorKind kind, boolean byEndpoint, long comeBackMs) {
    replies.send(new PeerMessage.Refused(id(), kind, byEndpoint, comeBackMs));
  }

  /** Tells the entry that it may have run and that no whole answer will come. */
  public void lost() {
    replies.send(new PeerMessage.EndpointLost(id()));
  }
}
