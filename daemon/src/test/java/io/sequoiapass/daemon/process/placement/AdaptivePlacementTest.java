package io.sequoiapass.daemon.process.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdaptivePlacementTest {

  private static final ModelId MODEL = new ModelId("base-a");
  private static final EndpointId ONE = new EndpointId("e1");
  private static final EndpointId TWO = new EndpointId("e2");
  private static final AdapterVersion NOTES = AdapterVersion.parse("notes@v1");
  private static final AdapterVersion SLIPS = AdapterVersion.parse("slips@v1");
  private static final AdapterVersion RULINGS = AdapterVersion.parse("rulings@v1");
  private static final long DEADLINE_MS = 60_000;

  private final AdaptivePlacement placement =
      new AdaptivePlacement(PlacementSettings.defaults(), PlacementWeights.STALLS);

  @Test
  void missLoadsAdapterOnceAndStartsAllWaitingRequests() {
    placement.endpointJoined(0, status(ONE, 1));

    assertThat(arrive(1, "r1", NOTES)).containsExactly(load(ONE, NOTES, null));
    assertThat(arrive(2, "r2", NOTES)).isEmpty();
    assertThat(placement.loadFinished(250, loaded(ONE, NOTES, "h1")))
        .containsExactly(start("r1", ONE, NOTES, "h1"), start("r2", ONE, NOTES, "h1"));
  }

  @Test
  void versionsAreLoadedAsSeparateAdapters() {
    placement.endpointJoined(0, status(ONE, 2, resident(NOTES, "h1")));

    assertThat(arrive(1, "r1", AdapterVersion.parse("notes@v2")))
        .containsExactly(load(ONE, AdapterVersion.parse("notes@v2"), null));
  }

  @Test
  void adapterInLeastDemandIsEvicted() {
    placement.endpointJoined(0, status(ONE, 2, resident(NOTES, "h1"), resident(SLIPS, "h2")));
    for (String id : List.of("r1", "r2")) {
      arrive(1, id, SLIPS);
      placement.requestFinished(2, new RequestId(id));
    }
    arrive(3, "r3", NOTES);
    placement.requestFinished(4, new RequestId("r3"));

    assertThat(arrive(5, "r4", RULINGS)).containsExactly(load(ONE, RULINGS, "h1"));
  }

  @Test
  void higherStallWeightRaisesHotDemandThreshold() {
    AdaptivePlacement batches =
        new AdaptivePlacement(PlacementSettings.defaults(), PlacementWeights.BATCHES);
    batches.endpointJoined(0, status(ONE, 2, resident(NOTES, "h1")));
    for (int i = 0; i < 12; i++) {
      batches.requestArrived(1, request("r" + i, NOTES, Urgency.INTERACTIVE));
      batches.requestFinished(1, new RequestId("r" + i));
    }

    assertThat(batches.loads().get(0).hot()).containsExactly(NOTES);
    batches.updateWeights(PlacementWeights.BATCHES.times(2, 1), true);
    assertThat(batches.loads().get(0).hot()).isEmpty();
  }

  @Test
  void nothingIsPrefetchedWhilePrefetchIsDisabled() {
    placement.endpointJoined(0, status(ONE, 2, resident(NOTES, "h1")));
    arrive(1, "r1", NOTES);
    placement.updateWeights(PlacementWeights.STALLS, false);

    assertThat(placement.endpointJoined(2, status(ONE, 2))).isEmpty();
    placement.updateWeights(PlacementWeights.STALLS, true);
    assertThat(placement.tick(3)).containsExactly(load(ONE, NOTES, null));
  }

  @Test
  void loadForDeadlineRequestStartsFirst() {
    placement.endpointJoined(0, status(ONE, 4));
    arrive(1, "r1", NOTES);
    arrive(2, "r2", SLIPS, Urgency.BATCH);
    arrive(3, "r3", RULINGS, Urgency.DEADLINE);

    assertThat(placement.loadFinished(250, loaded(ONE, NOTES, "h1")))
        .contains(load(ONE, RULINGS, null))
        .doesNotContain(load(ONE, SLIPS, null));
  }

  @Test
  void loadIsDelayedWhileOtherOwnersLoad() {
    placement.endpointJoined(0, status(ONE, 4));
    placement.recordOtherLoads(0, 1);

    assertThat(arrive(1, "r1", NOTES)).isEmpty();
    assertThat(placement.tick(200)).isEmpty();
    assertThat(placement.tick(251)).containsExactly(load(ONE, NOTES, null));
  }

  @Test
  void staleReportOfOtherLoadsIsIgnored() {
    placement.endpointJoined(0, status(ONE, 4));
    placement.recordOtherLoads(0, 9);

    assertThat(arrive(1_001, "r1", NOTES)).containsExactly(load(ONE, NOTES, null));
  }

  @Test
  void loadThatWouldEndAfterDeadlineIsNotStarted() {
    placement.endpointJoined(0, status(ONE, 1, resident(SLIPS, "h1")));

    assertThat(arrive(DEADLINE_MS - 249, "r1", NOTES)).isEmpty();
  }

  @Test
  void loadThatWouldEndAtDeadlineIsStarted() {
    placement.endpointJoined(0, status(ONE, 1, resident(SLIPS, "h1")));

    assertThat(arrive(DEADLINE_MS - 250, "r1", NOTES)).containsExactly(load(ONE, NOTES, "h1"));
  }

  @Test
  void freeSlotsArePrefetchedInOrderOfDemandAfterRestart() {
    placement.endpointJoined(0, status(ONE, 2, resident(NOTES, "h1"), resident(SLIPS, "h2")));
    arrive(1, "r1", SLIPS);
    arrive(1, "r2", SLIPS);
    arrive(1, "r3", NOTES);

    assertThat(placement.endpointJoined(5, status(ONE, 2))).containsExactly(load(ONE, SLIPS, null));
    assertThat(placement.loadFinished(255, loaded(ONE, SLIPS, "h3")))
        .containsExactly(load(ONE, NOTES, null));
  }

  @Test
  void requestWithoutEndpointIsRefused() {
    assertThat(arrive(1, "r1", NOTES))
        .containsExactly(
            new PlacementAction.Refuse(new RequestId("r1"), RefusalReason.NO_ENDPOINT, 1_000));
  }

  @Test
  void requestPastItsDeadlineIsRefused() {
    placement.endpointJoined(0, status(ONE, 1));
    arrive(1, "r1", NOTES);

    assertThat(placement.tick(DEADLINE_MS))
        .containsExactly(
            new PlacementAction.Refuse(new RequestId("r1"), RefusalReason.DEADLINE_PASSED, 0));
  }

  @Test
  void duplicateRequestIsRejected() {
    placement.endpointJoined(0, status(ONE, 1));
    arrive(1, "r1", NOTES);

    assertThatThrownBy(() -> arrive(2, "r1", NOTES)).hasMessageContaining("r1");
  }

  /**
   * Guards against a truncated answer because the adapter that serves it is evicted. All slots hold
   * adapters in use and more are requested; the placement must wait for a stream to end, including
   * streams that a former owner started.
   */
  @Nested
  class AdapterInUse {

    @Test
    void isNotEvicted() {
      placement.endpointJoined(0, status(ONE, 1, resident(NOTES, "h1")));
      arrive(1, "r1", NOTES);

      assertThat(arrive(2, "r2", SLIPS)).isEmpty();
      assertThat(placement.requestFinished(100, new RequestId("r1")))
          .containsExactly(load(ONE, SLIPS, "h1"));
    }

    @Test
    void isNotEvictedWhileStreamOfFormerOwnerRuns() {
      Resident taken = new Resident(new LoadHandle("h1"), NOTES, List.of(new RequestId("old")));
      placement.endpointJoined(0, status(ONE, 1, taken));

      assertThat(arrive(2, "r2", SLIPS)).isEmpty();
      assertThat(placement.requestFinished(100, new RequestId("old")))
          .containsExactly(load(ONE, SLIPS, "h1"));
    }
  }

  /**
   * Guards against callers that wait past their deadline because one failed load blocks all others.
   * A load fails or never ends: only its adapter is delayed, its permit is released after the
   * timeout, and after repeated failures the waiting requests are refused.
   */
  @Nested
  class FailedLoad {

    @Test
    void delaysOnlyItsAdapter() {
      placement.endpointJoined(0, status(ONE, 4));
      arrive(1, "r1", NOTES);
      arrive(2, "r2", SLIPS);

      assertThat(placement.loadFinished(250, failed(ONE, NOTES)))
          .containsExactly(load(ONE, SLIPS, null));
      placement.loadFinished(450, loaded(ONE, SLIPS, "h1"));
      assertThat(placement.tick(499)).isEmpty();
      assertThat(placement.tick(500)).containsExactly(load(ONE, NOTES, null));
    }

    @Test
    void releasesPermitAfterTimeout() {
      placement.endpointJoined(0, status(ONE, 4));
      placement.endpointJoined(0, status(TWO, 4));
      arrive(1, "r1", NOTES);

      assertThat(placement.tick(5_000)).isEmpty();
      assertThat(placement.tick(5_001)).containsExactly(load(TWO, NOTES, null));
      assertThat(placement.loadFinished(6_000, loaded(ONE, NOTES, "late")))
          .containsExactly(start("r1", ONE, NOTES, "late"));
    }

    @Test
    void refusesWaitingRequestsAfterMaxFailures() {
      placement.endpointJoined(0, status(ONE, 4));
      arrive(1, "r1", NOTES);
      List<PlacementAction> actions = new ArrayList<>();
      for (int i = 1; i <= 5; i++) {
        placement.tick(i * 10_000 - 5_000);
        actions.addAll(placement.loadFinished(i * 10_000 - 4_000, failed(ONE, NOTES)));
      }

      assertThat(actions)
          .containsExactly(
              new PlacementAction.Refuse(new RequestId("r1"), RefusalReason.LOAD_FAILED, 4_000));
    }
  }

  /**
   * Guards against an engine with fewer free slots than the owner has recorded. A former owner's
   * load is in progress at the takeover, or the answer to the owner's own load is lost; the engine
   * then refuses every load into the slot, and callers wait for adapters until it restarts.
   */
  @Nested
  class UnrecordedSlotUse {

    @Test
    void loadOfFormerOwnerTakesSlotAndServesOnceReady() {
      placement.endpointJoined(0, reported(ONE, 1, List.of(SLIPS)));
      assertThat(arrive(1, "r1", NOTES)).isEmpty();
      assertThat(arrive(2, "r2", SLIPS)).isEmpty();

      assertThat(placement.endpointReported(3, status(ONE, 1, resident(SLIPS, "h1"))))
          .containsExactly(start("r2", ONE, SLIPS, "h1"));
    }

    @Test
    void failedLoadOfFormerOwnerFreesSlot() {
      placement.endpointJoined(0, reported(ONE, 1, List.of(SLIPS)));
      assertThat(arrive(1, "r1", NOTES)).isEmpty();

      assertThat(placement.endpointReported(2, status(ONE, 1)))
          .containsExactly(load(ONE, NOTES, null));
    }

    @Test
    void adapterLoadedByUnansweredOrderIsEvictedBeforeNextLoad() {
      placement.endpointJoined(0, status(ONE, 1));
      arrive(1, "r1", SLIPS);
      placement.loadFinished(2, failed(ONE, SLIPS));
      placement.requestWithdrawn(3, new RequestId("r1"));
      placement.endpointReported(4, status(ONE, 1, resident(SLIPS, "h1")));

      assertThat(arrive(5, "r2", NOTES)).containsExactly(load(ONE, NOTES, "h1"));
    }

    @Test
    void adapterInUseByAnotherOwnerIsNotRecorded() {
      placement.endpointJoined(0, status(ONE, 2));
      Resident serving =
          new Resident(new LoadHandle("h1"), SLIPS, List.of(new RequestId("other~d9.1")));
      placement.endpointReported(1, status(ONE, 2, serving));

      assertThat(placement.loads().get(0).adapters()).doesNotContain(SLIPS);
    }

    @Test
    void adapterLostByEngineIsLoadedAgain() {
      placement.endpointJoined(0, status(ONE, 1, resident(NOTES, "h1")));
      placement.endpointReported(1, status(ONE, 1));

      assertThat(arrive(2, "r1", NOTES)).containsExactly(load(ONE, NOTES, null));
    }

    private EndpointStatus reported(EndpointId id, int slots, List<AdapterVersion> loading) {
      return new EndpointStatus(id, MODEL, slots, 4, List.of(), loading);
    }
  }

  /**
   * Guards against planned maintenance that callers notice, which must not happen: running requests
   * end normally on the leaving endpoint, and new ones run on another endpoint.
   */
  @Nested
  class LeavingEndpoint {

    @Test
    void receivesNoNewRequests() {
      placement.endpointJoined(0, status(ONE, 2, resident(NOTES, "h1")));
      placement.endpointJoined(0, status(TWO, 2));
      placement.endpointDraining(1, ONE);

      assertThat(arrive(2, "r1", NOTES)).containsExactly(load(TWO, NOTES, null));
    }

    @Test
    void keepsRequestsQueued() {
      placement.endpointJoined(0, status(ONE, 2));
      arrive(1, "r1", NOTES);
      assertThat(placement.endpointLeft(2, ONE)).isEmpty();

      assertThat(placement.endpointJoined(3, status(TWO, 2, resident(NOTES, "h9"))))
          .containsExactly(start("r1", TWO, NOTES, "h9"));
    }
  }

  private List<PlacementAction> arrive(long nowMs, String id, AdapterVersion adapter) {
    return arrive(nowMs, id, adapter, Urgency.INTERACTIVE);
  }

  private List<PlacementAction> arrive(
      long nowMs, String id, AdapterVersion adapter, Urgency urgency) {
    return placement.requestArrived(nowMs, request(id, adapter, urgency));
  }

  private static PlacementRequest request(String id, AdapterVersion adapter, Urgency urgency) {
    return new PlacementRequest(new RequestId(id), adapter, MODEL, urgency, DEADLINE_MS, 100, ONE);
  }

  private static EndpointStatus status(EndpointId id, int slots, Resident... residents) {
    return new EndpointStatus(id, MODEL, slots, 4, List.of(residents));
  }

  private static Resident resident(AdapterVersion adapter, String handle) {
    return new Resident(new LoadHandle(handle), adapter, List.of());
  }

  private static LoadResult loaded(EndpointId endpoint, AdapterVersion adapter, String handle) {
    return new LoadResult(endpoint, adapter, Optional.of(new LoadHandle(handle)));
  }

  private static LoadResult failed(EndpointId endpoint, AdapterVersion adapter) {
    return new LoadResult(endpoint, adapter, Optional.empty());
  }

  private static PlacementAction load(EndpointId endpoint, AdapterVersion adapter, String evict) {
    return new PlacementAction.Load(
        endpoint, adapter, Optional.ofNullable(evict).map(LoadHandle::new));
  }

  private static PlacementAction start(
      String id, EndpointId endpoint, AdapterVersion adapter, String handle) {
    return new PlacementAction.Start(new RequestId(id), endpoint, adapter, new LoadHandle(handle));
  }
}
