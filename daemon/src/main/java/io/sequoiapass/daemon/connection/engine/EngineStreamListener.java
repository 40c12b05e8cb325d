package io.sequoiapass.daemon.connection.engine;

import java.util.List;

/**
 * Hears how an engine answers one request; on the connection's event loop, must not block.
 *
 * <p>Any number of {@link #frames}, then exactly one of the others.
 */
public interface EngineStreamListener {

  /**
   * Called with the events that arrived together.
   *
   * @param frames the events in order, at least one
   */
  void frames(List<EngineFrame> frames);

  /** Called when the stream ended as HTTP; whether it was whole, its frames tell. */
  void ended();

  /**
   * Called when the engine answered that it did not take the request.
   *
   * @param refusal why
   */
  void refused(EngineRefusal refusal);

  /**
   * Called when the connection failed.
   *
   * @param mayHaveReached whether the engine may have the request
   */
  void lost(boolean mayHaveReached);
}
