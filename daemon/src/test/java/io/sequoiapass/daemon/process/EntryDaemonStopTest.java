package io.sequoiapass.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.process.settings.EntrySettings;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EntryDaemonStopTest {

  private static final int DAEMONS = Integer.getInteger("sequoiapass.stop.daemons", 60);
  private static final int CONNECTIONS = 20;
  private static final long STOP_LIMIT_MS = 15_000;

  /** A process that two threads shut down at once never exits: one waits on closed event loops. */
  @Test
  void twoThreadsThatAwaitTheStopBothReturn() throws Exception {
    List<Socket> callers = new ArrayList<>();
    List<Thread> waiting = new ArrayList<>();
    try {
      for (int i = 0; i < DAEMONS; i++) {
        EntryDaemon daemon = EntryDaemon.start(settings());
        for (int c = 0; c < CONNECTIONS; c++) {
          callers.add(new Socket(InetAddress.getLoopbackAddress(), daemon.callerPort()));
        }
        waiting.add(awaitStop(daemon));
        waiting.add(awaitStop(daemon));
        daemon.drain();
      }
      long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_LIMIT_MS);
      for (Thread thread : waiting) {
        thread.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime())));
      }
      assertThat(waiting).noneMatch(Thread::isAlive);
    } finally {
      for (Socket caller : callers) {
        caller.close();
      }
    }
  }

  private static Thread awaitStop(EntryDaemon daemon) {
    Thread thread =
        new Thread(
            () -> {
              try {
                daemon.awaitStop();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Nothing listens at the platform's address. */
  private static EntrySettings settings() throws Exception {
    return EntrySettings.parse(
        List.of(
            "--id", "d1",
            "--data-centre", "dc1",
            "--host", "h1",
            "--drain-limit-ms", "3000",
            "--caller-port", "0",
            "--operator-port", "0",
            "--peer-port", "0",
            "--platform", "127.0.0.1:1"),
        Map.of());
  }
}
