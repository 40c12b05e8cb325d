package io.sequoiapass.daemon.connection.engine;

import java.util.List;

/**
 * Receives an engine's answer to one request. Called on the connection's event loop; must not
 * block.
 *
 * <p>{@link #frames} is called zero or more times, followed by exactly one call of {@link #ended},
 * {@link #refused} or {@link #lost}.
 */
public interface EngineStreamListener {

  /**
   * Called with the frames of one read from the connection.
   *
   * @param frames the frames in order, at least one
   */
  void frames(List<EngineFrame> frames);

  /** Called when the HTTP response ended. The frames show whether the answer is complete. */
  void ended();

  /**
   * Called when the engine refused the request.
   *
   * @param refusal the reason
   */
  void refused(EngineRefusal refusal);

  /**
   * Called when the connection failed.
   *
   * @param mayHaveReached whether the engine may have received the request
   */
  void lost(boolean mayHaveReached);
}
