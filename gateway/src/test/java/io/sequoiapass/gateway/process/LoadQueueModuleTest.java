package io.sequoiapass.gateway.process;

import static io.sequoiapass.gateway.process.PlanFixtures.adapter;
import static io.sequoiapass.gateway.process.PlanFixtures.idleStore;
import static io.sequoiapass.gateway.process.PlanFixtures.need;
import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** What operators see of the queue, at a coordinator without engines. */
class LoadQueueModuleTest {

  private final LoadQueue queue =
      new LoadQueue(
          new PlacementPlan(
              new AdapterVersions(2_500),
              new ModelLoadLimiter(() -> 5_000, 1),
              new LoadTime(idleStore())),
          name -> false);
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final DecisionLog log =
      DecisionLog.start("north-1", () -> 0, new PrintStream(out, true, StandardCharsets.UTF_8));
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final LinkedDaemon daemon = new LinkedDaemon(null);
  private long clock;
  private final LoadQueueModule module = new LoadQueueModule(queue, () -> clock, log, metrics);

  private LoadReply request(int number, long arrivedAt, long until) {
    return queue.loadOrEnqueue(
        new LoadQueue.Entry(need(number), until, until, new LoadQueue.Place(0, 7, arrivedAt)),
        new QueuedLoads.Source(daemon, number),
        clock);
  }

  private void round(long now) {
    clock = now;
    module.queue(Map.of(), now);
  }

  private String loggedUntil(String last) {
    log.flush();
    Assertions.assertTimeoutPreemptively(
        Duration.ofSeconds(10),
        () -> {
          while (!out.toString(StandardCharsets.UTF_8).contains(last)) {
            Thread.onSpinWait();
          }
        });
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void outcomesAreCountedByPriority() {
    request(1, 0, 9_000);
    assertThat(request(2, 0, 10)).isInstanceOf(LoadReply.Rejected.class);
    clock = 500;
    request(3, 100, 9_000);
    module.receive(daemon, new RoomMessage.LoadWithdrawn(adapter(1), 1), 500);
    round(500);

    assertThat(metrics.text())
        .contains("sequoiapass_slot_requests_total{result=\"rejected\",priority=\"1\"} 1")
        .contains("sequoiapass_slot_requests_total{result=\"returned\",priority=\"1\"} 1")
        .contains("sequoiapass_slot_requests_total{result=\"withdrawn\",priority=\"1\"} 1")
        .contains("sequoiapass_queued_loads{priority=\"1\"} 1.00");
  }

  @Test
  void queueIsLoggedAtItsBeginAndEnd() {
    request(1, 0, 9_000);
    round(100);
    module.receive(daemon, new RoomMessage.LoadWithdrawn(adapter(1), 1), 200);
    round(300);
    round(2_100);

    assertThat(loggedUntil("\"returned\""))
        .contains("\"event\":\"load_queue_began\",\"queue\":1,\"waiting\":1")
        .contains("\"event\":\"load_queue_ended\",\"queue\":1,\"lasted_ms\":0,\"longest\":1")
        .contains("\"rejected\":0,\"withdrawn\":1");
  }

  /** Guards against loads in the metrics of a process that does not coordinate any more. */
  @Test
  void nothingIsShownOnceRoundsEnd() {
    request(1, 0, 9_000);
    round(100);
    clock = 2_200;

    assertThat(metrics.text()).doesNotContain("sequoiapass_queued_loads");
  }

  /** Guards against loads of an earlier term, and against refusals of what is requested anew. */
  @Test
  void requestLosesOnlyItsPlaceInANewTerm() {
    request(1, 0, 9_000);
    request(2, 0, 9_000);
    clock = 100;

    module.activated(100);

    assertThat(queue.isEmpty()).isTrue();
    assertThat(request(2, 100, 9_000)).isInstanceOf(LoadReply.Queued.class);
    assertThat(queue.waiting()).extracting(LoadQueue.Entry::adapter).containsExactly(adapter(2));
  }
}
