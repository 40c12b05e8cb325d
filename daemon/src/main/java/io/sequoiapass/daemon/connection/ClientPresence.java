package io.sequoiapass.daemon.connection;

/**
 * How recently it was read from a client's connection that the client is still connected.
 *
 * <pre>{@code
 * if (presence.isRecent()) {
 *   send();
 * } else {
 *   presence.afterNextRead(this::send); // discarded by the connection's onClose if the client left
 * }
 * }</pre>
 *
 * <p>An event loop that is late finds requests together with the close of their connections, and
 * handles whatever else is due before it reads the close. Thread-safe.
 */
public interface ClientPresence {

  /**
   * Age above which the connection is read again before anything is sent for its client, in
   * milliseconds. Requests of clients that have left must not reach endpoints more than half a
   * second later.
   */
  long MAX_AGE_MS = 200;

  /** The presence of a client without a connection, which never leaves. */
  ClientPresence PERMANENT =
      new ClientPresence() {
        @Override
        public long ageMs() {
          return 0;
        }

        @Override
        public void afterNextRead(Runnable action) {
          action.run();
        }
      };

  /** Returns how long ago the connection was last read to its end, in milliseconds. */
  long ageMs();

  /**
   * Runs an action once the connection has been read again. If the client has left by then, the
   * connection is closed before the action runs.
   *
   * @param action the action; runs on the connection's event loop
   */
  void afterNextRead(Runnable action);

  /** Returns whether the connection was read within {@link #MAX_AGE_MS}. */
  default boolean isRecent() {
    return ageMs() <= MAX_AGE_MS;
  }
}
