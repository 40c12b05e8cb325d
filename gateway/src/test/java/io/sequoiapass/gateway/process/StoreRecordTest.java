package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreChanges;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.spi.WriteResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class StoreRecordTest {

  private static final StoreKind<String> KIND = new StoreKind<>("texts", String.class);

  private final FakeStore store = new FakeStore();
  private final List<String> observed = new ArrayList<>();
  private final StoreRecord<String> record =
      new StoreRecord<>(store, KIND, "text", "", this::observe, Runnable::run, () -> 1);

  /** A store with one object, which others have written. */
  private static final class FakeStore implements MetadataStore {

    private final List<String> written = new ArrayList<>();

    @Override
    @SuppressWarnings("unchecked")
    public <T> CompletableFuture<StoreList<T>> list(StoreKind<T> kind) {
      Stored<String> object = new Stored<>("text", 5, Optional.of("of others"), "");
      return CompletableFuture.completedFuture(
          new StoreList<>(5, List.of((Stored<T>) (Stored<?>) object)));
    }

    @Override
    public <T> CompletableFuture<StoreChanges<T>> watch(
        StoreKind<T> kind, long after, long waitMs) {
      throw new UnsupportedOperationException();
    }

    @Override
    public <T> CompletableFuture<WriteResult<T>> write(
        StoreKind<T> kind, String name, T value, OptionalLong expected) {
      written.add(value.toString());
      return CompletableFuture.completedFuture(new WriteResult.Written<>(6));
    }
  }

  /** Another thread may tick while the value that was read is being observed. */
  private void observe(String value) {
    tick();
    observed.add(value);
  }

  private void tick() {
    record.tick(before -> "with " + observed, written -> {});
  }

  @Test
  void valueIsObservedBeforeTheNextIsWritten() {
    tick();
    tick();

    assertThat(observed).containsExactly("of others");
    assertThat(store.written).containsExactly("with [of others]");
  }
}
