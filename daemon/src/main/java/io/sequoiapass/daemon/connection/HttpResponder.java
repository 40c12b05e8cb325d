package io.sequoiapass.daemon.connection;

import java.util.Map;

/**
 * Sends the answer to one request: either {@link #respond}, or {@link #begin}, {@link #write} and
 * {@link #end}.
 *
 * <p>Safe for use by several threads; calls after the connection closed do nothing.
 */
public interface HttpResponder {

  /**
   * Sends a whole answer.
   *
   * @param status the status code
   * @param headers headers besides the length
   * @param body the body
   */
  void respond(int status, Map<String, String> headers, byte[] body);

  /**
   * Sends a whole answer in JSON.
   *
   * @param status the status code
   * @param headers headers besides type and length
   * @param json the body
   */
  void respond(int status, Map<String, String> headers, String json);

  /**
   * Sends the head of an answer whose body follows in parts.
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

  /** Closes the connection without ending the body, so that the reader knows it is short. */
  void abort();

  /** Returns whether the connection takes more without queueing in memory. */
  boolean writable();

  /**
   * Registers what runs each time the connection takes more again.
   *
   * @param action what to run, on the event loop
   */
  void onWritable(Runnable action);

  /**
   * Registers what runs once if the connection closes before the answer ended.
   *
   * @param action what to run, on the event loop
   */
  void onClose(Runnable action);
}
