package io.sequoiapass.testbed.launch;

import io.sequoiapass.testbed.cli.Addresses;
import java.io.IOException;
import java.net.ServerSocket;

/**
 * Allocates free loopback ports.
 *
 * <p>The ports lie below the ephemeral range. The system could assign an ephemeral port to an
 * outgoing connection between its allocation and the start of the process that it is meant for, and
 * the process would fail to bind. Safe for use by several threads.
 */
public final class FreePorts {

  private static final int FIRST = 10_000;
  private static final int LAST = 30_000;

  private int next;

  /** Starts at an offset derived from the process id, so that concurrent runs rarely collide. */
  public FreePorts() {
    next = FIRST + (int) (ProcessHandle.current().pid() * 101 % (LAST - FIRST));
  }

  /**
   * Returns a free port, a different one on each call until the range is exhausted.
   *
   * @throws IOException if no port is free
   */
  public synchronized int allocate() throws IOException {
    for (int attempts = 0; attempts < LAST - FIRST; attempts++) {
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
