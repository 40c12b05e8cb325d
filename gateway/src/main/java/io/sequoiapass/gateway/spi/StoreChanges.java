package io.sequoiapass.gateway.spi;

import java.util.List;

/**
 * What changed after a revision of the store.
 *
 * @param revision the revision up to which the changes are reported
 * @param changes the changes in their order
 * @param <T> the type of the objects' values
 */
public record StoreChanges<T>(long revision, List<Change<T>> changes) {

  /** Copies the list. */
  public StoreChanges {
    changes = List.copyOf(changes);
  }

  /**
   * One change.
   *
   * @param object the object after the change, or as it was before it was removed
   * @param removed whether the object was removed
   * @param <T> the type of the object's value
   */
  public record Change<T>(Stored<T> object, boolean removed) {}
}
