package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a reply that is attributed to another data centre or an earlier request. */
class AdapterSearchTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");
  private static final List<DataCentreId> BOTH = List.of(NORTH, SOUTH);
  private static final AdapterName ADAPTER =
      new AdapterName(new ModelId("base"), new AdapterId("a1"));

  private final AdapterSearch search = new AdapterSearch();

  private static Choice.RequestLoad load(DataCentreId dataCentre, boolean waits) {
    return new Choice.RequestLoad(dataCentre, false, waits, 300);
  }

  @Test
  void fullDataCentreStaysACandidate() {
    search.request(load(NORTH, false), 0, 100);

    assertThat(search.loadRejected(NORTH, 250)).isTrue();
    assertThat(search.candidates(BOTH)).containsExactly(NORTH, SOUTH);
    assertThat(search.queueWaits()).containsEntry(NORTH, 250L);
    assertThat(search.preferOverloaded(new Choice.Refuse(ErrorKind.NO_ENDPOINT, 1)))
        .isEqualTo(new Choice.Refuse(ErrorKind.OVERLOADED, 250));
  }

  @Test
  void dataCentreThatExceedsItsEstimateIsExcluded() {
    search.request(load(NORTH, true), 900, 100);
    search.loadRejected(NORTH, 1_500);

    assertThat(search.candidates(BOTH)).containsExactly(SOUTH);
  }

  @Test
  void replyOfAnotherDataCentreIsIgnored() {
    search.request(load(NORTH, true), 900, 100);

    assertThat(search.loadRejected(SOUTH, 250)).isFalse();
    assertThat(search.coordinatorLost(SOUTH)).isFalse();
    assertThat(search.candidates(BOTH)).containsExactly(NORTH, SOUTH);
  }

  @Test
  void unresponsiveDataCentreIsExcludedAfterTheTimeout() {
    search.request(load(NORTH, false), 0, 100);
    search.excludeOverdue(500);
    assertThat(search.candidates(BOTH)).contains(NORTH);

    search.excludeOverdue(1_000);
    assertThat(search.candidates(BOTH)).containsExactly(SOUTH);
  }

  /**
   * Guards against a load request whose timeout is measured from the start of an earlier load
   * request.
   */
  @Test
  void eachLoadRequestHasItsOwnTimeout() {
    search.request(load(NORTH, false), 0, 100);
    search.loadFound();
    search.excludeOverdue(2_000);
    search.request(load(SOUTH, false), 0, 2_000);
    search.excludeOverdue(2_300);

    assertThat(search.candidates(BOTH)).containsExactly(NORTH, SOUTH);
  }

  @Test
  void dataCentreOfALostCoordinatorIsExcluded() {
    search.request(load(SOUTH, true), 2_000, 100);

    assertThat(search.coordinatorLost(SOUTH)).isTrue();
    assertThat(search.candidates(BOTH)).containsExactly(NORTH);
  }

  /** Guards against refusals of all queued requests when their coordinator is lost. */
  @Test
  void requestWhoseQueueWasLostAsksTheNextCoordinatorOnce() {
    Choice.Refuse refusal = new Choice.Refuse(ErrorKind.NO_ENDPOINT, 1);
    search.request(load(NORTH, true), 2_000, 100);
    search.coordinatorLost(NORTH);

    assertThat(search.asksAnew(refusal, false)).isFalse();
    assertThat(search.asksAnew(refusal, true)).isTrue();
    assertThat(search.candidates(List.of())).isEmpty();
    assertThat(search.candidates(BOTH)).contains(NORTH);
    search.request(load(NORTH, true), 2_000, 300);
    search.loadRejected(NORTH, 900);
    assertThat(search.asksAnew(refusal, true)).isFalse();
  }

  /**
   * Guards against a retry that has no candidates because the previous attempt requested a further
   * copy.
   */
  @Test
  void retrySearchesAllDataCentresAgain() {
    search.request(new Choice.RequestLoad(NORTH, true, false, 300), 0, 100);
    search.reset();
    assertThat(search.candidates(BOTH)).containsExactly(NORTH, SOUTH);

    search.request(load(NORTH, false), 0, 200);
    search.loadRejected(NORTH, 900);
    search.reset();
    assertThat(search.queueWaits()).isEmpty();
  }

  @Test
  void noLoadIsRequestedWhileACopyIsPending() {
    search.request(new Choice.RequestLoad(NORTH, true, false, 300), 0, 100);

    assertThat(search.candidates(BOTH)).isEmpty();
  }

  /** Guards against places in a queue that requests keep although they do not wait for them. */
  @Nested
  class PlaceInAQueue {

    private final List<String> ended = new ArrayList<>();

    @BeforeEach
    void enqueue() {
      request(NORTH, "first");
    }

    private void request(DataCentreId dataCentre, String name) {
      search.send(new Source(name), load(dataCentre, true), loadRequest(), 100);
    }

    @Test
    void isReleasedByARequestThatEnds() {
      search.end();
      search.end();

      assertThat(ended).containsExactly("first released");
    }

    @Test
    void isReleasedByARequestThatIsSentThroughAPeer() {
      search.reset();

      assertThat(ended).containsExactly("first released");
    }

    @Test
    void isReleasedOnceAnotherDataCentreIsAsked() {
      request(SOUTH, "second");

      assertThat(ended).containsExactly("first released");
    }

    @Test
    void isReleasedIfTheReplyIsOverdue() {
      search.excludeOverdue(2_000);

      assertThat(ended).containsExactly("first released");
    }

    @Test
    void isSettledOnceACopyIsFound() {
      search.copyFound();
      search.end();

      assertThat(ended).containsExactly("first settled");
    }

    @Test
    void isSettledByARejection() {
      search.loadRejected(NORTH, 500);
      search.end();

      assertThat(ended).containsExactly("first settled");
    }

    private LoadRequest loadRequest() {
      Generation generation =
          new Generation(ADAPTER.model(), Optional.of(ADAPTER), 0, 0, List.of());
      return new LoadRequest(generation, Flow.COMMON, false, 500, 900, 900, Set.of());
    }

    /** Places in a queue that record how they end. */
    private final class Source implements RelayContext.AdapterSource, QueuePlace {

      private final String name;

      Source(String name) {
        this.name = name;
      }

      @Override
      public List<DataCentreId> loadable() {
        return BOTH;
      }

      @Override
      public Optional<QueuePlace> requestLoad(DataCentreId dataCentre, LoadRequest request) {
        return Optional.of(this);
      }

      @Override
      public void missed(
          DataCentreId dataCentre, EndpointId endpoint, AdapterName adapter, boolean early) {}

      @Override
      public void settled() {
        ended.add(name + " settled");
      }

      @Override
      public void release() {
        ended.add(name + " released");
      }
    }
  }
}
