package io.sequoiapass.daemon.connection;

import java.net.InetSocketAddress;

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
        public void stray(InetSocketAddress server, StrayResponse response) {}

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

  /**
   * Called when a response was discarded that belongs to another request, or to none.
   *
   * @param server the server that has sent it
   * @param response what it was
   */
  void stray(InetSocketAddress server, StrayResponse response);

  /** Called when a response did not name its request, after which its connection is closed. */
  void unattributed();
}
