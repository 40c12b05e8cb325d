package io.sequoiapass.daemon.connection;

/** Reason for which a server closes the connection of a client. */
public enum CloseReason {
  /** No request has arrived within the idle limit. */
  IDLE,
  /** A request was not complete in time. */
  SLOW_REQUEST,
  /** The server takes no more requests, and none is open. */
  STOP,
  /** The last response, which announced the close, has been written. */
  LAST_RESPONSE,
  /** An exception that no request accounts for. */
  EXCEPTION
}
