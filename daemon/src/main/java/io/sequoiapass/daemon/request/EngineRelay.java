package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.daemon.connection.engine.EngineFrame;
import io.sequoiapass.daemon.connection.engine.EngineRefusal;
import io.sequoiapass.daemon.connection.engine.EngineStreamListener;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Forwards an engine's stream to the entry, as long as its frames match the request.
 *
 * <p>Runs on the engine connection's event loop; forwarding tokens takes no lock.
 */
public final class EngineRelay implements EngineStreamListener {

  /** Receives the end of the stream. */
  public interface EndListener {

    /**
     * Called when the complete answer has arrived.
     *
     * @param ranOn the adapter version that it ran on
     * @param tokens its length in tokens
     */
    void completed(AdapterVersion ranOn, int tokens);

    /** Called when the engine has refused the request. */
    void refused(EngineRefusal refusal);

    /**
     * Called when the stream was interrupted or did not match the request.
     *
     * @param next index of the first token that was not forwarded
     * @param mayHaveReached whether the engine may have received the request
     * @param resumable whether the rest may be requested from the engine
     */
    void broken(int next, boolean mayHaveReached, boolean resumable);
  }

  private final Execution execution;
  private final AdapterVersion expected;
  private final EndListener end;
  private int next;
  private boolean closed;

  /**
   * Creates a relay.
   *
   * @param execution the attempt
   * @param from index of the first requested token
   * @param end receives the end of the stream
   */
  public EngineRelay(Execution execution, int from, EndListener end) {
    this.execution = execution;
    this.expected = execution.completion().adapter();
    this.next = from;
    this.end = end;
  }

  @Override
  public void frames(List<EngineFrame> frames) {
    int first = next;
    List<String> texts = new ArrayList<>(frames.size());
    Optional<EngineFrame> unexpected = Optional.empty();
    for (EngineFrame frame : frames) {
      if (closed || !matches(frame) || frame.done() || frame.index() != next) {
        unexpected = Optional.of(frame);
        break;
      }
      texts.add(frame.token());
      next++;
    }
    // Sent before the end of the stream is handled, since the entry ignores tokens after the end.
    if (!texts.isEmpty()) {
      execution.replies().send(new PeerMessage.Tokens(execution.id(), expected, first, texts));
    }
    unexpected.ifPresent(this::handleUnexpected);
  }

  private void handleUnexpected(EngineFrame frame) {
    if (closed) {
      return;
    }
    if (!matches(frame)) {
      fail(true, false);
    } else if (frame.done()) {
      finish(frame);
    } else {
      fail(true, true);
    }
  }

  /**
   * Returns whether a frame belongs to this request. An engine that has restarted, or that answers
   * on a reused connection, may send the tokens of another request, and the caller would read
   * another caller's text. Comparing request, adapter and version of every frame is enough, since
   * request ids are unique and never change.
   */
  private boolean matches(EngineFrame frame) {
    try {
      return execution.id().request().value().equals(frame.requestId())
          && expected.equals(frame.ranOn())
          && (frame.done() || frame.token() != null);
    } catch (IllegalArgumentException invalidName) {
      return false;
    }
  }

  private void finish(EngineFrame frame) {
    if (frame.tokens() != next) {
      fail(true, true);
      return;
    }
    closed = true;
    end.completed(frame.ranOn(), frame.tokens());
  }

  private void fail(boolean mayHaveReached, boolean resumable) {
    if (!closed) {
      closed = true;
      end.broken(next, mayHaveReached, resumable);
    }
  }

  @Override
  public void ended() {
    // A stream without its last event is incomplete, even if the connection closed cleanly.
    fail(true, true);
  }

  @Override
  public void refused(EngineRefusal refusal) {
    if (!closed) {
      closed = true;
      end.refused(refusal);
    }
  }

  @Override
  public void lost(boolean mayHaveReached) {
    fail(mayHaveReached, mayHaveReached);
  }
}
