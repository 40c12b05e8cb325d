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
 * Hands an engine's stream on to the entry, as long as it is what was asked for.
 *
 * <p>Used on the engine connection's event loop; tokens take no lock on their way.
 */
public final class EngineRelay implements EngineStreamListener {

  /** Hears how the stream ended. */
  public interface End {

    /**
     * The whole answer arrived.
     *
     * @param ranOn what it ran on
     * @param tokens its length
     */
    void whole(AdapterVersion ranOn, int tokens);

    /** The engine answered that it did not take the request. */
    void refused(EngineRefusal refusal);

    /**
     * The stream broke, or was not what was asked for.
     *
     * @param next index of the first token that was not handed on
     * @param mayHaveReached whether the engine may have the request
     * @param resumable whether the engine may be asked for the rest
     */
    void broken(int next, boolean mayHaveReached, boolean resumable);
  }

  private final Execution execution;
  private final AdapterVersion expected;
  private final End end;
  private int next;
  private boolean over;

  /**
   * Makes a relay.
   *
   * @param execution the attempt
   * @param from index of the first token that the engine was asked for
   * @param end hears the end
   */
  public EngineRelay(Execution execution, int from, End end) {
    this.execution = execution;
    this.expected = execution.completion().adapter();
    this.next = from;
    this.end = end;
  }

  @Override
  public void frames(List<EngineFrame> frames) {
    int first = next;
    List<String> texts = new ArrayList<>(frames.size());
    Optional<EngineFrame> odd = Optional.empty();
    for (EngineFrame frame : frames) {
      if (over || !matches(frame) || frame.done() || frame.index() != next) {
        odd = Optional.of(frame);
        break;
      }
      texts.add(frame.token());
      next++;
    }
    // Before the end that the odd frame may bring: what follows an end is not read by the entry.
    if (!texts.isEmpty()) {
      execution.replies().send(new PeerMessage.Tokens(execution.id(), expected, first, texts));
    }
    odd.ifPresent(this::endWith);
  }

  private void endWith(EngineFrame frame) {
    if (over) {
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
   * An engine that restarted, or answers on a reused connection, may send another request's tokens;
   * the caller would read a stranger's text. Comparing request, adapter and version of every frame
   * is enough, since each request has its own id for its whole life.
   */
  private boolean matches(EngineFrame frame) {
    try {
      return execution.id().request().value().equals(frame.requestId())
          && expected.equals(frame.ranOn())
          && (frame.done() || frame.token() != null);
    } catch (IllegalArgumentException unnamed) {
      return false;
    }
  }

  private void finish(EngineFrame frame) {
    if (frame.tokens() != next) {
      fail(true, true);
      return;
    }
    over = true;
    end.whole(frame.ranOn(), frame.tokens());
  }

  private void fail(boolean mayHaveReached, boolean resumable) {
    if (!over) {
      over = true;
      end.broken(next, mayHaveReached, resumable);
    }
  }

  @Override
  public void ended() {
    // Without its last event a stream is short, however cleanly the connection ended.
    fail(true, true);
  }

  @Override
  public void refused(EngineRefusal refusal) {
    if (!over) {
      over = true;
      end.refused(refusal);
    }
  }

  @Override
  public void lost(boolean mayHaveReached) {
    fail(mayHaveReached, mayHaveReached);
  }
}
