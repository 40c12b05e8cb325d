package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;

/** Builds single identifiers of attempts, for interfaces that take one identifier, as placement. */
public final class AttemptKeys {

  private static final char SEPARATOR = '#';

  private AttemptKeys() {}

  /**
   * Returns the identifier of an attempt.
   *
   * @param id the attempt
   */
  public static RequestId of(AttemptId id) {
    return of(id.request().value(), id.attempt());
  }

  /**
   * Returns the identifier of an attempt.
   *
   * @param request the request
   * @param attempt the number of the attempt
   */
  public static RequestId of(String request, int attempt) {
    return new RequestId(request + SEPARATOR + attempt);
  }
}
