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
      };

  /**
   * Called when a connection has been opened.
   *
   * @param policy the policy of the call that it was opened for
   */
  void opened(ReusePolicy policy);

  /** Called when a call is sent on a connection that was idle. */
  void reused();
}
