package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.spi.EndpointNotice;

/**
 * Tracks one attempt of a request at the process that it was sent to, from its sending to its end.
 * Implementations are safe for use by several threads.
 */
public interface Recipient {

  /** Returns the name of the process. */
  String name();

  /**
   * Records what the headers of an answer state about the endpoint that sent it.
   *
   * @param notice the statement
   * @param byEndpoint whether the answer certainly comes from the endpoint; a statement of another
   *     one cannot end a limit
   * @param now when the answer arrived, in milliseconds
   * @return whether the limit has changed
   */
  boolean noticed(EndpointNotice notice, boolean byEndpoint, long now);

  /** Records that the response has started. */
  void begun(long now);

  /** Records that a part of the response has arrived. */
  void progress(long now);

  /** Returns whether the process sends nothing on any of this daemon's streams. */
  boolean isStalled(long now);

  /** Records that the process has stopped responding; the response may still arrive. */
  void stalled(long now);

  /**
   * Records that the connection was lost, so that the process may have ended. Called before {@link
   * #ended}.
   */
  default void connectionLost(long now) {}

  /** Finds out which software version the process is, if that is in doubt. */
  default void verify() {}

  /** Records the end of the attempt. */
  void ended(Ending ending, long now);

  /** What the end of an attempt indicates about its recipient. */
  enum Ending {
    /** A complete response. */
    ANSWERED,
    /** A lost connection, a truncated response, or a failure of the endpoint. */
    FAILED,
    /** A refusal for lack of capacity, or a caller that disconnected. */
    NO_BLAME
  }
}
