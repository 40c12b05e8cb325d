package io.sequoiapass.daemon.connection.engine;

/**
 * Hears how an engine answers one request; on the connection's event loop, must not block.
 *
 * <p>Any number of {@link #frame}, then exactly one of the others.
 */
public interface EngineStreamListener {

  /**
   * Called with each event of the stream.
   *
   * @param frame the event
   */
  void frame(EngineFrame frame);

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
