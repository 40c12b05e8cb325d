package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.spi.WriteResult;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * One object in the store that several daemons read and write, each write on condition that no
 * other one came between.
 *
 * <pre>{@code
 * record.tick(before -> before.with(seen), written -> log(written));   // several times a second
 * }</pre>
 *
 * <p>Safe for use by several threads.
 *
 * @param <T> the type of the value, which has to have equality by value
 */
final class StoreRecord<T> {

  /** Pause after a call that had no effect, in milliseconds. */
  private static final long RETRY_MS = 1_000;

  private final MetadataStore store;
  private final StoreKind<T> kind;
  private final String name;
  private final Known<T> absent;
  private final Consumer<T> observed;
  private final Executor loop;
  private final MillisClock clock;
  private Optional<Known<T>> known = Optional.empty();
  private boolean busy;
  private long nextAt;

  /** The value as it stands; without a revision if the object does not exist. */
  private record Known<T>(T value, OptionalLong revision) {}

  /**
   * Creates a record that is not read yet.
   *
   * @param store holds the object
   * @param kind its kind
   * @param name its name
   * @param empty its value before anything was written
   * @param observed receives each value that was read; must not block
   * @param loop runs callbacks
   * @param clock the monotonic clock
   */
  StoreRecord(
      MetadataStore store,
      StoreKind<T> kind,
      String name,
      T empty,
      Consumer<T> observed,
      Executor loop,
      MillisClock clock) {
    this.store = store;
    this.kind = kind;
    this.name = name;
    this.absent = new Known<>(empty, OptionalLong.empty());
    this.observed = observed;
    this.loop = loop;
    this.clock = clock;
  }

  /** Drops what is known, since other daemons may write meanwhile; the next tick reads it. */
  synchronized void forget() {
    known = Optional.empty();
  }

  /**
   * Reads the object, or writes it if it has to change.
   *
   * @param next returns the value as it has to be
   * @param written receives a value that was written
   */
  void tick(UnaryOperator<T> next, Consumer<T> written) {
    Optional<Known<T>> base;
    T value = null;
    synchronized (this) {
      if (busy || clock.millis() < nextAt) {
        return;
      }
      base = known;
      if (base.isPresent()) {
        value = next.apply(base.get().value());
      }
      busy = base.isEmpty() || !value.equals(base.get().value());
      if (!busy) {
        return;
      }
    }
    if (base.isEmpty()) {
      read();
    } else {
      write(value, base.get(), written);
    }
  }

  private void read() {
    store.list(kind).whenComplete((list, failure) -> loop.execute(() -> readEnded(list)));
  }

  private void readEnded(StoreList<T> list) {
    if (list == null) {
      pause();
      return;
    }
    use(
        list.items().stream()
            .filter(item -> item.name().equals(name))
            .findFirst()
            .map(this::of)
            .orElse(absent));
  }

  /** A value is observed before the next one is decided on. */
  private void use(Known<T> read) {
    observed.accept(read.value());
    synchronized (this) {
      known = Optional.of(read);
      busy = false;
    }
  }

  private synchronized void pause() {
    known = Optional.empty();
    nextAt = clock.millis() + RETRY_MS;
    busy = false;
  }

  private Known<T> of(Stored<T> object) {
    return new Known<>(object.value().orElse(absent.value()), OptionalLong.of(object.revision()));
  }

  private void write(T value, Known<T> base, Consumer<T> written) {
    store
        .write(kind, name, value, base.revision())
        .whenComplete((result, failure) -> loop.execute(() -> writeEnded(value, result, written)));
  }

  private void writeEnded(T value, WriteResult<T> result, Consumer<T> written) {
    if (result instanceof WriteResult.Written<T> done) {
      synchronized (this) {
        known = Optional.of(new Known<>(value, OptionalLong.of(done.revision())));
        busy = false;
      }
      written.accept(value);
    } else if (result instanceof WriteResult.Conflict<T> conflict) {
      use(conflict.current().map(this::of).orElse(absent));
    } else {
      // The write may still take effect, so the object has to be read first.
      pause();
    }
  }
}
