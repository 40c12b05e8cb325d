package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreChanges;
import io.sequoiapass.gateway.spi.StoreException;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.spi.VerdictRecord;
import io.sequoiapass.gateway.spi.WriteResult;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VerdictRecorderTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final PartKey BAD = new PartKey(-7);

  private long now = 1;
  private final FakeStore store = new FakeStore();

  /** The store with the record. */
  private static final class FakeStore implements MetadataStore {

    private Optional<Stored<VerdictRecord>> stored = Optional.empty();
    private long revision = 1;
    private int calls;
    private boolean down;

    @Override
    @SuppressWarnings("unchecked")
    public <T> CompletableFuture<StoreList<T>> list(StoreKind<T> kind) {
      calls++;
      return down
          ? CompletableFuture.failedFuture(
              new StoreException(StoreException.Reason.NO_ANSWER, "down"))
          : CompletableFuture.completedFuture(
              new StoreList<>(revision, (List<Stored<T>>) (List<?>) stored.stream().toList()));
    }

    @Override
    public <T> CompletableFuture<StoreChanges<T>> watch(
        StoreKind<T> kind, long after, long waitMs) {
      throw new UnsupportedOperationException();
    }

    @Override
    @SuppressWarnings("unchecked")
    public <T> CompletableFuture<WriteResult<T>> write(
        StoreKind<T> kind, String name, T value, OptionalLong expected) {
      calls++;
      OptionalLong current =
          stored.isPresent() ? OptionalLong.of(stored.get().revision()) : OptionalLong.empty();
      if (!expected.equals(current)) {
        return CompletableFuture.completedFuture(
            new WriteResult.Conflict<>(stored.map(one -> (Stored<T>) one)));
      }
      revision++;
      stored = Optional.of(new Stored<>(name, revision, Optional.of((VerdictRecord) value), ""));
      return CompletableFuture.completedFuture(new WriteResult.Written<>(revision));
    }
  }

  /** A process of a daemon. */
  private final class Daemon {
    private final PromptPartGuard guard =
        new PromptPartGuard(() -> now, DecisionLog.silent(), new GatewayMetrics());
    private final VerdictRecorder recorder =
        new VerdictRecorder(store, guard, Runnable::run, () -> now, DecisionLog.silent());

    private void ticks(boolean isCoordinator) {
      for (int i = 0; i < 4; i++) {
        recorder.tick(isCoordinator);
        now += 500;
      }
    }

    private void update(List<PartKey> convicted, List<PartKey> ended) {
      guard.update(NORTH, new LinkMessage.PartVerdicts(false, List.of(), convicted, ended));
    }
  }

  private Daemon coordinatorWithVerdict() {
    Daemon process = new Daemon();
    process.update(List.of(BAD), List.of());
    process.ticks(true);
    return process;
  }

  /** Guards against parts that crash endpoints again once all daemons were restarted. */
  @Nested
  class Verdict {

    @Test
    void isKnownToAProcessThatStartsWhileNoOtherOneRuns() {
      coordinatorWithVerdict();
      Daemon next = new Daemon();
      next.ticks(false);

      assertThat(next.guard.convicted()).containsExactly(BAD);
      assertThat(next.guard.known().convicted()).containsExactly(BAD);
    }

    @Test
    void isReadOnceTheStoreIsBack() {
      coordinatorWithVerdict();
      store.down = true;
      Daemon next = new Daemon();
      next.ticks(false);
      store.down = false;
      next.ticks(false);

      assertThat(next.guard.convicted()).containsExactly(BAD);
    }

    @Test
    void isAdoptedOnceMoreAfterItHasRunOut() {
      Daemon coordinator = coordinatorWithVerdict();
      Daemon other = new Daemon();
      other.ticks(true);
      now += CrashVerdicts.VERDICT_MS;
      assertThat(other.guard.convicted()).isEmpty();

      coordinator.update(List.of(BAD), List.of());
      coordinator.ticks(true);
      other.guard.adopt(store.stored.orElseThrow().value().orElseThrow().parts());

      assertThat(other.guard.convicted()).containsExactly(BAD);
    }

    @Test
    void isRemovedWhenItEnds() {
      Daemon process = coordinatorWithVerdict();
      process.update(List.of(), List.of(BAD));
      process.ticks(true);

      assertThat(store.stored.orElseThrow().value().orElseThrow()).isEqualTo(VerdictRecord.EMPTY);
    }

    @Test
    void ofAnotherCoordinatorIsKept() {
      Daemon first = new Daemon();
      first.ticks(true);
      coordinatorWithVerdict();
      PartKey other = new PartKey(8);
      first.update(List.of(other), List.of());
      first.ticks(true);

      assertThat(store.stored.orElseThrow().value().orElseThrow().parts())
          .isEqualTo(Set.of(BAD, other));
    }
  }

  @Nested
  class Calls {

    @Test
    void areOneForEachStart() {
      new Daemon().ticks(false);

      assertThat(store.calls).isEqualTo(1);
    }

    @Test
    void areNoneWhileNothingChanges() {
      Daemon process = coordinatorWithVerdict();
      int before = store.calls;
      process.ticks(true);

      assertThat(store.calls).isEqualTo(before);
    }
  }
}
