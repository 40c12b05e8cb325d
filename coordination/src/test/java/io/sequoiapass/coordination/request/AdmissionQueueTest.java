package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.ServiceId;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {

  private static final AdmissionSettings SMALL = new AdmissionSettings(12, 8, 16, 0, 100, 10_000);

  private final AdmissionQueue queue = new AdmissionQueue(SMALL, 0);
  private int serial;

  private AdmissionTicket ticket(String service, String flow, Priority priority, long deadline) {
    return ticket(service, flow, priority, deadline, 1);
  }

  private AdmissionTicket ticket(
      String service, String flow, Priority priority, long deadline, double cost) {
    RequestId id = new RequestId("r" + (100_000 + serial++));
    return new AdmissionTicket(id, new ServiceId(service), flow, priority, deadline, cost);
  }

  private Map<String, Integer> servedByFlow(int polls) {
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < polls; i++) {
      queue
          .poll(0)
          .next()
          .ifPresent(next -> served.merge(next.service() + "/" + next.flow(), 1, Integer::sum));
    }
    return served;
  }

  private Optional<AdmissionQueue.Refusal> offerInteractive(String service, String flow) {
    return queue.offer(ticket(service, flow, Priority.INTERACTIVE, 60_000), 0);
  }

  @Nested
  class Ordering {

    @Test
    void sharesFairlyAcrossServicesThenAdapters() {
      for (int i = 0; i < 6; i++) {
        offerInteractive("yards", i < 5 ? "hot" : "rare");
      }
      offerInteractive("portal", "x");
      offerInteractive("portal", "x");
      assertThat(servedByFlow(4))
          .containsOnly(
              Map.entry("yards/hot", 1), Map.entry("yards/rare", 1), Map.entry("portal/x", 2));
    }

    @Test
    void servesCostlyRequestsLessOften() {
      for (int i = 0; i < 6; i++) {
        queue.offer(ticket("costly", "", Priority.INTERACTIVE, 60_000, 5), 0);
        queue.offer(ticket("cheap", "", Priority.INTERACTIVE, 60_000, 1), 0);
      }
      assertThat(servedByFlow(6)).containsEntry("cheap/", 5).containsEntry("costly/", 1);
    }

    @Test
    void servesEarliestDeadlineOfAdapterFirst() {
      queue.offer(ticket("s", "a", Priority.INTERACTIVE, 9_000), 0);
      AdmissionTicket urgent = ticket("s", "a", Priority.INTERACTIVE, 8_000);
      queue.offer(urgent, 0);
      assertThat(queue.poll(0).next()).contains(urgent);
    }
  }

  @Nested
  class LoadShedding {

    @Test
    void shedsRequestsOfFloodingService() {
      for (int i = 0; i < 8; i++) {
        assertThat(offerInteractive("flood", "a")).isEmpty();
      }
      assertThat(offerInteractive("flood", "a").orElseThrow().outcome().kind())
          .isEqualTo(ErrorKind.QUEUE_FULL);
      for (int i = 0; i < 4; i++) {
        assertThat(offerInteractive("small", "b")).isEmpty();
      }
      AdmissionQueue.Refusal shed = offerInteractive("third", "c").orElseThrow();
      assertThat(shed.ticket().service().value()).isEqualTo("flood");
      assertThat(shed.outcome().kind()).isEqualTo(ErrorKind.OVERLOADED);
      assertThat(queue.size()).isEqualTo(12);
    }

    @Test
    void spacesRetryTimesOfRefusedCallers() {
      for (int i = 0; i < 8; i++) {
        offerInteractive("flood", "a");
      }
      long first =
          offerInteractive("flood", "a").orElseThrow().outcome().comeBackMillis().orElse(0);
      long next = offerInteractive("flood", "a").orElseThrow().outcome().comeBackMillis().orElse(0);
      assertThat(first).as("eight before it at 100 a second").isEqualTo(90);
      assertThat(next).isEqualTo(100);
    }

    @Test
    void refusesUnreachableDeadlineOnArrival() {
      for (int i = 0; i < 8; i++) {
        offerInteractive("s", "a");
      }
      AdmissionTicket unreachable = ticket("s", "a", Priority.INTERACTIVE, 50);
      assertThat(queue.offer(unreachable, 0).orElseThrow().outcome().kind())
          .isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
      assertThat(queue.offer(ticket("s", "a", Priority.DEADLINE, 50), 0)).isEmpty();
    }

    @Test
    void doesNotServeExpiredRequests() {
      queue.offer(ticket("s", "a", Priority.INTERACTIVE, 50), 0);
      assertThat(queue.expire(50)).isEmpty();
      AdmissionQueue.PollResult result = queue.poll(51);
      assertThat(result.next()).isEmpty();
      assertThat(result.refused().get(0).outcome().kind()).isEqualTo(ErrorKind.DEADLINE_PASSED);
      assertThat(queue.size()).isZero();
    }
  }

  /**
   * Guards against an overload without load shedding: callers offer three times the capacity for a
   * minute, the queue grows until every request is served after its deadline, and goodput falls to
   * zero.
   */
  @Nested
  class Overload {

    private static final int CAPACITY_PER_SECOND = 100;
    private static final int DEADLINE_MILLIS = 800;

    @Test
    void keepsGoodputAndPriorityWorkAtThreeTimesCapacity() {
      AdmissionQueue limited = new AdmissionQueue(AdmissionSettings.DEFAULT, 0);
      Map<Priority, Integer> offered = new EnumMap<>(Priority.class);
      Map<Priority, Integer> good = new EnumMap<>(Priority.class);
      double credit = 0;
      for (int now = 0; now < 60_000; now++) {
        if (now % 10 < 3) {
          Priority ordinary = now % 2 == 0 ? Priority.INTERACTIVE : Priority.BATCH;
          Priority priority = now % 50 < 1 ? Priority.DEADLINE : ordinary;
          offered.merge(priority, 1, Integer::sum);
          limited.offer(ticket("s" + now % 7, "a", priority, now + DEADLINE_MILLIS), now);
        }
        credit = Math.min(1, credit + CAPACITY_PER_SECOND / 1_000.0);
        if (credit >= 0.999) {
          Optional<AdmissionTicket> next = limited.poll(now).next();
          credit -= next.isPresent() ? 1 : 0;
          next.ifPresent(served -> good.merge(served.priority(), 1, Integer::sum));
        }
      }
      int total = good.values().stream().mapToInt(Integer::intValue).sum();
      assertThat(total).isGreaterThanOrEqualTo(60 * CAPACITY_PER_SECOND * 9 / 10);
      assertThat(good.get(Priority.DEADLINE)).isEqualTo(offered.get(Priority.DEADLINE));
    }
  }

  @Nested
  class Estimates {

    // Ten thousand requests per second are served without waiting, then the endpoints are
    // saturated. If they counted towards the drain rate, hundreds of later requests would be
    // admitted and refused just before their deadline.
    @Test
    void requestsServedWithoutWaitingDoNotRaiseDrainRate() {
      for (int i = 0; i < 10_000; i++) {
        queue.offer(ticket("yards", "a", Priority.INTERACTIVE, 60_000), i / 10);
        assertThat(queue.poll(i / 10).next()).isPresent();
      }
      queue.offer(ticket("yards", "a", Priority.INTERACTIVE, 60_000), 1_000);
      queue.offer(ticket("yards", "a", Priority.INTERACTIVE, 60_000), 1_000);
      AdmissionTicket third = ticket("yards", "a", Priority.INTERACTIVE, 60_000);
      assertThat(queue.expectedWaitMillis(third, 1_000)).isEqualTo(20);
    }

    // An engine slows down, and the work started last is abandoned at its deadline. With samples
    // from complete answers only, the queue would keep starting work that cannot finish in time.
    @Test
    void abandonedRequestsRaiseServiceTimeEstimate() {
      queue.finished(1, 100);
      for (int i = 0; i < 50; i++) {
        queue.abandoned(1, 1_000);
      }
      assertThat(queue.offer(ticket("yards", "a", Priority.INTERACTIVE, 800), 0))
          .get()
          .extracting(refusal -> refusal.outcome().kind())
          .isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
    }
  }
}
