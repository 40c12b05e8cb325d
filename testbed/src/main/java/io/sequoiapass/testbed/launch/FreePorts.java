package io.sequoiapass.testbed.launch;

import io.sequoiapass.testbed.cli.Addresses;
import java.io.IOException;
import java.net.ServerSocket;

/**
 * Hands out loopback ports that nobody listens on.
 *
 * <p>The ports lie below those that the system gives to outgoing connections. A port from that
 * range could be taken by some connection between here and the start of the process meant for it,
 * and the process would fail to listen. Safe for use by several threads.
 */
public final class FreePorts {

  private static final int FIRST = 10_000;
  private static final int LAST = 30_000;

  private int next;

  /** Starts at a place that differs from process to process, so that two runs seldom meet. */
  public FreePorts() {
    next = FIRST + (int) (ProcessHandle.current().pid() * 101 % (LAST - FIRST));
  }

  /**
   * Returns a port that nobody listens on, another one each time.
   *
   * @throws IOException if there is none
   */
  public synchronized int take() throws IOException {
    for (int tries = 0; tries < LAST - FIRST; tries++) {
      next = next + 1 > LAST ? FIRST : next + 1;
      if (free(next)) {
        return next;
      }
    }
    throw new IOException("no free port between " + FIRST + " and " + LAST);
  }

  private static boolean free(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(Addresses.loopback(port));
      return true;
    } catch (IOException taken) {
      return false;
    }
  }
}
