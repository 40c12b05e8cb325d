package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a check that acts on an answer which began while it waited for the lock. */
class ResponseTimerTest {

  private static final long MAX_WAIT_MS = 3_000;

  private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
  private final ResponseTimer timer = new ResponseTimer(loop);
  private final Object lock = new Object();
  private final CountDownLatch running = new CountDownLatch(1);
  private final CompletableFuture<Boolean> isDue = new CompletableFuture<>();
  private final ResponseWatchdog watch = new ResponseWatchdog(0, 1);

  @AfterEach
  void shutDown() {
    loop.shutdownNow();
  }

  private void check(ResponseWatchdog checked) {
    running.countDown();
    synchronized (lock) {
      isDue.complete(timer.isScheduled(checked));
    }
  }

  @Test
  void checkThatIsCancelledWhileItRunsIsNotDue() throws Exception {
    synchronized (lock) {
      timer.schedule(watch, 0, this::check);
      assertThat(running.await(MAX_WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
      timer.cancel();
    }

    assertThat(isDue.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS)).isFalse();
  }

  @Test
  void checkIsDue() throws Exception {
    synchronized (lock) {
      timer.schedule(watch, 0, this::check);
    }

    assertThat(isDue.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
  }
}
