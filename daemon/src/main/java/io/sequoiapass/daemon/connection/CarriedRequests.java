package io.sequoiapass.daemon.connection;

import java.util.Arrays;

/**
 * The ids of the requests that one connection has carried.
 *
 * <p>Guards against a late copy of a response. An id names a request, not a send of it, so on a
 * connection that carries a request a second time a copy of the first response looks like the
 * second one: a request that runs would be taken for rejected, and sent once more.
 *
 * <p>Ids are kept as hashes; a collision costs a connection and nothing else. Not safe for use by
 * several threads: whoever holds the connection uses it.
 */
final class CarriedRequests {

  /** Requests after which a connection is replaced, which bounds what is kept. */
  static final int MAX_REQUESTS = 256;

  private static final int FIRST_CAPACITY = 8;

  private int[] hashes = new int[FIRST_CAPACITY];
  private int size;

  /** Adds a request that the connection is about to carry. */
  void add(String id) {
    if (size == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * size);
    }
    hashes[size++] = id.hashCode();
  }

  /** Returns whether the connection has carried a request. */
  boolean contains(String id) {
    int hash = id.hashCode();
    for (int i = 0; i < size; i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the connection has carried as many requests as are kept. */
  boolean isFull() {
    return size >= MAX_REQUESTS;
  }
}
