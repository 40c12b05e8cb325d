package io.sequoiapass.gateway.spi;

import java.util.List;

/**
 * The changes after a revision of the store.
 *
 * @param revision the revision up to which changes are included
 * @param changes the changes in order
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
   * @param object the object after the change, or before its removal
   * @param removed whether the object was removed
   * @param <T> the type of the object's value
   */
  public record Change<T>(Stored<T> object, boolean removed) {}
}
