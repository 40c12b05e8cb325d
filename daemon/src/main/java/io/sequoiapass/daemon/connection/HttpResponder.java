package io.sequoiapass.daemon.connection;

import java.util.Map;

/**
 * Sends the response to one request: either {@link #respond}, or {@link #begin}, {@link #write} and
 * {@link #end}.
 *
 * <p>Thread-safe; calls after the connection has closed have no effect.
 */
public interface HttpResponder {

  /**
   * Sends a complete response.
   *
   * @param status the status code
   * @param headers headers other than the length
   * @param body the body
   */
  void respond(int status, Map<String, String> headers, byte[] body);

  /**
   * Sends a complete response with a JSON body.
   *
   * @param status the status code
   * @param headers headers other than type and length
   * @param json the body
   */
  void respond(int status, Map<String, String> headers, String json);

  /**
   * Sends the head of a response whose body follows in parts.
   *
   * @param status the status code
   * @param headers the headers
   */
  void begin(int status, Map<String, String> headers);

  /**
   * Sends a part of the body.
   *
   * @param part the bytes
   */
  void write(byte[] part);

  /** Ends the body. */
  void end();

  /** Closes the connection without ending the body, so that the client detects the truncation. */
  void abort();

  /** Returns how recently the client's connection was read. */
  default ClientPresence presence() {
    return ClientPresence.PERMANENT;
  }

  /** Returns whether the write buffer is below its high watermark. */
  boolean writable();

  /**
   * Sets the action to run each time the connection becomes writable again.
   *
   * @param action the action; runs on the event loop
   */
  void onWritable(Runnable action);

  /**
   * Sets the action to run once if the connection closes before the response has ended.
   *
   * @param action the action; runs on the event loop
   */
  void onClose(Runnable action);
}
