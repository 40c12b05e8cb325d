package io.sequoiapass.daemon.connection.peer;

/** Thrown when bytes from a peer are not a frame of the protocol. */
public final class PeerFrameException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what is wrong
   */
  public PeerFrameException(String message) {
    super(message);
  }

  /**
   * Creates an exception.
   *
   * @param message what is wrong
   * @param cause the decoder's exception
   */
  public PeerFrameException(String message, Throwable cause) {
    super(message, cause);
  }
}
