package io.sequoiapass.gateway.spi;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Reads, watches and writes the platform's store. A failed read completes exceptionally with a
 * {@link StoreException} as its cause; a write always completes with a {@link WriteResult}.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface MetadataStore {

  /**
   * Lists all objects of a kind.
   *
   * @param kind the kind
   */
  <T> CompletableFuture<StoreList<T>> list(StoreKind<T> kind);

  /**
   * Reads one object; empty if there is none.
   *
   * @param kind the kind
   * @param name the object's name
   */
  default <T> CompletableFuture<Optional<Stored<T>>> get(StoreKind<T> kind, String name) {
    return list(kind)
        .thenApply(
            list -> list.items().stream().filter(item -> item.name().equals(name)).findFirst());
  }

  /**
   * Waits for changes.
   *
   * @param kind the kind
   * @param after the revision after which changes are returned
   * @param waitMs how long the store may hold the call while nothing changes, in milliseconds
   */
  <T> CompletableFuture<StoreChanges<T>> watch(StoreKind<T> kind, long after, long waitMs);

  /**
   * Writes one object if it has the expected revision.
   *
   * @param kind the kind
   * @param name the object's name
   * @param value its new value
   * @param expected the revision that the object must have; empty if it must not exist
   */
  <T> CompletableFuture<WriteResult<T>> write(
      StoreKind<T> kind, String name, T value, OptionalLong expected);
}
