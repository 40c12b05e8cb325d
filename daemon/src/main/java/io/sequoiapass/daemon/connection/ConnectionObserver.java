package io.sequoiapass.daemon.connection;

/** Receives how the calls of a client get their connections; must not block. */
public interface ConnectionObserver {

  /** Ignores all events. */
  ConnectionObserver NONE =
      new ConnectionObserver() {
        @Override
        public void opened(ReusePolicy policy) {}

        @Override
        public void reused() {}

        @Override
        public void passedOver() {}

        @Override
        public void discarded() {}

        @Override
        public void unattributed() {}
      };

  /**
   * Called when a connection has been opened.
   *
   * @param policy the policy of the call that it was opened for
   */
  void opened(ReusePolicy policy);

  /** Called when a call is sent on a connection that was idle. */
  void reused();

  /**
   * Called when a call takes no idle connection, since those that it may use have carried the same
   * request before.
   */
  void passedOver();

  /** Called when a response to another request was discarded. */
  void discarded();

  /** Called when a response did not name its request, after which its connection is closed. */
  void unattributed();
}
