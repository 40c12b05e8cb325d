package io.sequoiapass.daemon.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The idle connections of a client to one server.
 *
 * <p>The load it answers: many clients that each send a server a few requests a second, some of
 * which may not run twice. A call that needs a recently used connection leaves the others open,
 * since a later call that may be sent again can still use them. The most recently used connection
 * is taken first, so that the others reach their limit.
 *
 * <p>Safe for use by several threads.
 *
 * @param <C> the type of the connections
 */
final class IdleConnections<C> {

  /** Maximum idle connections; beyond it the one that has been idle longest is closed. */
  private static final int MAX_IDLE = 32;

  private final Predicate<C> isOpen;
  private final Consumer<C> close;
  private final Deque<Idle<C>> connections = new ArrayDeque<>();

  /**
   * A connection for a call.
   *
   * @param connection the connection; empty if a new one is needed
   * @param passedOver whether the policy allows a connection that does not suit the call
   * @param <C> the type of the connection
   */
  record Taken<C>(Optional<C> connection, boolean passedOver) {}

  private record Idle<C>(C connection, long since, long limitMs) {
    private boolean mayServe(ReusePolicy policy, long now) {
      return policy.allows(now - since, limitMs);
    }
  }

  /**
   * Creates an empty pool.
   *
   * @param isOpen whether a connection is still open as far as this host knows
   * @param close closes a connection
   */
  IdleConnections(Predicate<C> isOpen, Consumer<C> close) {
    this.isOpen = isOpen;
    this.close = close;
  }

  /**
   * Adds a connection whose last response is complete.
   *
   * @param connection the connection
   * @param limitMs idle timeout stated by the server, in milliseconds; negative if none
   * @param now the time, in milliseconds
   */
  synchronized void add(C connection, long limitMs, long now) {
    if (connections.size() >= MAX_IDLE) {
      close.accept(connections.removeFirst().connection());
    }
    connections.addLast(new Idle<>(connection, now, limitMs));
  }

  /**
   * Removes and returns the most recently used connection that a policy allows and that suits a
   * call. If the policy allows none, the caller opens one, in place of the oldest; those that do
   * not suit this call stay, since they suit others.
   *
   * @param policy the policy of the call
   * @param suits whether a connection may carry the call
   * @param now the time, in milliseconds
   */
  synchronized Taken<C> take(ReusePolicy policy, Predicate<C> suits, long now) {
    removeUnusable(now);
    boolean passedOver = false;
    Iterator<Idle<C>> newestFirst = connections.descendingIterator();
    while (newestFirst.hasNext()) {
      Idle<C> next = newestFirst.next();
      if (next.mayServe(policy, now)) {
        if (suits.test(next.connection())) {
          newestFirst.remove();
          return new Taken<>(Optional.of(next.connection()), passedOver);
        }
        passedOver = true;
      }
    }
    if (policy != ReusePolicy.NONE && !passedOver && !connections.isEmpty()) {
      close.accept(connections.removeFirst().connection());
    }
    return new Taken<>(Optional.empty(), passedOver);
  }

  /** Returns whether there is a connection that a policy allows. */
  synchronized boolean has(ReusePolicy policy, long now) {
    return connections.stream()
        .anyMatch(idle -> idle.mayServe(policy, now) && isOpen.test(idle.connection()));
  }

  /** Closes all connections. */
  synchronized void closeAll() {
    connections.forEach(idle -> close.accept(idle.connection()));
    connections.clear();
  }

  /** Closes the connections that no call may use any more; returns whether none is left. */
  synchronized boolean removeUnusable(long now) {
    connections.removeIf(
        idle -> {
          boolean usable = idle.mayServe(ReusePolicy.ANY, now) && isOpen.test(idle.connection());
          if (!usable) {
            close.accept(idle.connection());
          }
          return !usable;
        });
    return connections.isEmpty();
  }
}
