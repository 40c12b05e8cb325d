package io.sequoiapass.gateway.spi;

import java.util.List;

/**
 * All objects of a kind at one revision of the store.
 *
 * @param revision the revision
 * @param items the objects
 * @param <T> the type of their values
 */
public record StoreList<T>(long revision, List<Stored<T>> items) {

  /** Copies the list. */
  public StoreList {
    items = List.copyOf(items);
  }
}
