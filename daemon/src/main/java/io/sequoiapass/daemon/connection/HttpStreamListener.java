package io.sequoiapass.daemon.connection;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the parts of one answer as they arrive, on the connection's event loop.
 *
 * <p>{@link #started} comes once at most, then any number of {@link #received}, then one of {@link
 * #ended} and {@link #failed}. Implementations must not block.
 */
public interface HttpStreamListener {

  /**
   * Called with the head of the answer.
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

  /** Called when the answer is whole. */
  void ended();

  /**
   * Called when the answer will not become whole.
   *
   * @param failure what happened
   */
  void failed(HttpFailure failure);
}
