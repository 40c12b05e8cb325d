package io.sequoiapass.daemon.connection;

import java.util.Locale;

/** What a server has sent that is not the response to the request in progress. */
public enum StrayResponse {
  /** A response that names another request, as a late copy does; the right one may follow. */
  TO_ANOTHER_REQUEST,
  /** A head that begins with the start of another one, whose status it would seem to have. */
  JOINED_HEAD,
  /** A head whose status is below 100 or above 599. */
  INVALID_STATUS,
  /** A response that names no request, on a connection that has carried others; maybe a copy. */
  WITHOUT_ID,
  /** Bytes that no request has asked for: behind a complete response, or while none is due. */
  UNREQUESTED;

  /** Returns the name under which it is counted. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
