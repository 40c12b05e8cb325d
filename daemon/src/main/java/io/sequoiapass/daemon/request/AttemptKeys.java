package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;

/** Names attempts where only one identifier has room, as in the placement. */
public final class AttemptKeys {

  private static final char SEPARATOR = '#';

  private AttemptKeys() {}

  /**
   * Returns one identifier for a request and its attempt.
   *
   * @param id the attempt
   */
  public static RequestId of(AttemptId id) {
    return of(id.request().value(), id.attempt());
  }

  /**
   * Returns one identifier for a request and its attempt.
   *
   * @param request the request
   * @param attempt the attempt
   */
  public static RequestId of(String request, int attempt) {
    return new RequestId(request + SEPARATOR + attempt);
  }
}
