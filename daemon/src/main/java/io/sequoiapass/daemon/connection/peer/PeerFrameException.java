package io.sequoiapass.daemon.connection.peer;

/** Tells that bytes from a peer are no frame of the protocol. */
public final class PeerFrameException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Makes an exception.
   *
   * @param message what is wrong
   */
  public PeerFrameException(String message) {
    super(message);
  }

  /**
   * Makes an exception.
   *
   * @param message what is wrong
   * @param cause what the decoder met
   */
  public PeerFrameException(String message, Throwable cause) {
    super(message, cause);
  }
}
