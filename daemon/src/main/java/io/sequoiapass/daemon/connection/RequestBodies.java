package io.sequoiapass.daemon.connection;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The room of the requests of one connection that have been received and not yet answered, oldest
 * first. Used on the connection's event loop.
 */
final class RequestBodies {

  private final BodyCollector collector;
  private final RequestMemory memory;
  private final Deque<Long> bytes = new ArrayDeque<>();

  RequestBodies(BodyCollector collector, RequestMemory memory) {
    this.collector = collector;
    this.memory = memory;
  }

  /** Adds a request whose body has been received; returns false if there is no room for it. */
  boolean add(long bodyBytes) {
    boolean hasRoom = collector.takeRoom(bodyBytes);
    if (hasRoom) {
      bytes.addLast(bodyBytes);
    }
    return hasRoom;
  }

  /** Removes the oldest request, which has been answered. */
  void removeFirst() {
    Long first = bytes.pollFirst();
    if (first != null) {
      memory.release(first);
    }
  }

  /** Removes all requests, as the connection is closed. */
  void clear() {
    bytes.forEach(memory::release);
    bytes.clear();
  }
}
