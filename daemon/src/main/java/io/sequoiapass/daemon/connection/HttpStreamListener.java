package io.sequoiapass.daemon.connection;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the parts of one response as they arrive, on the connection's event loop.
 *
 * <p>{@link #started} is called at most once, then {@link #received} any number of times, then one
 * of {@link #ended} and {@link #failed}, unless the call is cancelled. Implementations must not
 * block.
 */
public interface HttpStreamListener {

  /**
   * Called with the head of the response.
   *
   * @param status the status code
   * @param headers the headers
   */
  void started(int status, HttpHeaders headers);

  /**
   * Called with a part of the body.
   *
   * @param part the bytes
   */
  void received(byte[] part);

  /** Called when the response is complete. */
  void ended();

  /**
   * Called when the response cannot be completed.
   *
   * @param failure the cause
   */
  void failed(HttpFailure failure);
}
