package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.OrderKind;
import io.sequoiapass.daemon.connection.engine.EngineClient;
import io.sequoiapass.daemon.connection.engine.EngineOrderException;
import io.sequoiapass.daemon.connection.engine.EngineRefusal;
import io.sequoiapass.daemon.connection.engine.EngineState;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import io.sequoiapass.daemon.process.placement.PlacementAction;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * Gives engines the orders to unload and load, each only if the gate still permits it.
 *
 * <p>Safe for use by several threads.
 */
final class LoadOrders {

  /** Names a load that no engine ever made, so that the order to undo it changes nothing. */
  private static final String NEVER_LOADED = "never-loaded";

  /** Long enough for a handover that came to nothing, short beside a request's deadline. */
  private static final long GATE_WAIT_MS = 2_000;

  private final MillisClock clock;
  private final EngineClient engines;
  private final OrderGate gate;
  private final OwnerObserver observer;
  private final Set<EndpointId> raised = ConcurrentHashMap.newKeySet();
  private final Queue<Shut> shut = new ConcurrentLinkedQueue<>();

  /** Hears how a load ended, on any thread. */
  interface Result {

    /**
     * Called once for each load.
     *
     * @param handle the load's handle, or empty if nothing was loaded
     * @param suspect whether the engine may hold something else than was believed
     */
    void ended(Optional<LoadHandle> handle, boolean suspect);
  }

  LoadOrders(MillisClock clock, EngineClient engines, OrderGate gate, OwnerObserver observer) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.gate = Objects.requireNonNull(gate, "gate");
    this.observer = Objects.requireNonNull(observer, "observer");
  }

  /**
   * Raises an endpoint's fence by an order that changes nothing. Until then the former owner's
   * number is the highest that the engine has seen, and an order of its that is still on its way is
   * obeyed after this daemon has read the engine's state.
   *
   * @param endpoint the endpoint
   * @return ends well once raised, or if this daemon may give no orders at all
   */
  CompletableFuture<Void> raise(OwnedEndpoint endpoint) {
    Optional<FencingNumber> fence = gate.permit(endpoint.id(), OrderKind.LOAD_INTO_FREE_SLOT);
    if (raised.contains(endpoint.id()) || fence.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return engines
        .unload(endpoint.address(), fence.get(), NEVER_LOADED)
        .handle(
            (done, failure) -> {
              if (failure != null && !isNoSuchHandle(failure)) {
                throw new CompletionException(failure);
              }
              raised.add(endpoint.id());
              return null;
            });
  }

  private static boolean isNoSuchHandle(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof EngineOrderException refused
        && refused.refusal() == EngineRefusal.NO_SUCH_HANDLE;
  }

  /**
   * Notes that an endpoint is another's: its fence has to be raised again after the next change.
   */
  void forget(EndpointId endpoint) {
    raised.remove(endpoint);
  }

  void carry(OwnedEndpoint endpoint, PlacementAction.Load load, Result result) {
    if (load.evict().isEmpty()) {
      load(endpoint, load, result);
    } else if (raised.contains(endpoint.id()) && !gate.mayOthersServe()) {
      evict(endpoint, load, load.evict().get(), result);
    } else {
      look(endpoint, load, load.evict().get(), result);
    }
  }

  // A daemon that is cut off from this one may serve the endpoint as its deputy: its streams are
  // known to nobody here. The engine knows them.
  private void look(
      OwnedEndpoint endpoint, PlacementAction.Load load, LoadHandle victim, Result result) {
    raise(endpoint)
        .thenCompose(done -> engines.state(endpoint.address()))
        .whenComplete(
            (state, failure) -> {
              if (failure == null && isIdle(state, victim)) {
                evict(endpoint, load, victim, result);
              } else {
                result.ended(Optional.empty(), true);
              }
            });
  }

  private static boolean isIdle(EngineState state, LoadHandle victim) {
    return state.slots().stream()
        .filter(slot -> slot.handle().equals(victim.value()))
        .allMatch(slot -> slot.streams() == 0);
  }

  private void evict(
      OwnedEndpoint endpoint, PlacementAction.Load load, LoadHandle victim, Result result) {
    permitted(
        endpoint.id(),
        OrderKind.UNLOAD,
        fence ->
            engines
                .unload(endpoint.address(), fence, victim.value())
                .whenComplete(
                    (done, failure) -> {
                      if (failure == null) {
                        load(endpoint, load, result);
                      } else {
                        result.ended(Optional.empty(), true);
                      }
                    }),
        // The placement already counts the evicted adapter as gone; the engine still holds it.
        () -> result.ended(Optional.empty(), true));
  }

  private void load(OwnedEndpoint endpoint, PlacementAction.Load load, Result result) {
    permitted(
        endpoint.id(),
        OrderKind.LOAD_INTO_FREE_SLOT,
        fence -> loadNow(endpoint, load, fence, result),
        () -> result.ended(Optional.empty(), load.evict().isPresent()));
  }

  private void loadNow(
      OwnedEndpoint endpoint, PlacementAction.Load load, FencingNumber fence, Result result) {
    long sentAt = clock.millis();
    engines
        .load(endpoint.address(), fence, load.adapter())
        .whenComplete(
            (handle, failure) -> {
              observer.loadEnded(
                  endpoint.id(), load.adapter(), clock.millis() - sentAt, failure == null);
              result.ended(Optional.ofNullable(handle).map(LoadHandle::new), failure != null);
            });
  }

  // The gate shuts for moments, as while a lease is renewed late or a handover is under way. Told
  // as a failed load, that would make the placement shun the adapter, which did nothing wrong; so
  // the order waits a little first.
  private void permitted(
      EndpointId endpoint, OrderKind kind, Consumer<FencingNumber> order, Runnable refused) {
    Optional<FencingNumber> fence = gate.permit(endpoint, kind);
    if (fence.isPresent()) {
      order.accept(fence.get());
    } else {
      shut.add(new Shut(endpoint, kind, order, refused, clock.millis() + GATE_WAIT_MS));
    }
  }

  /** Asks the gate again for the orders that wait for it. */
  void tick() {
    for (int waiting = shut.size(); waiting > 0; waiting--) {
      Shut order = shut.poll();
      if (order == null) {
        return;
      }
      Optional<FencingNumber> fence = gate.permit(order.endpoint(), order.kind());
      if (fence.isPresent()) {
        order.order().accept(fence.get());
      } else if (clock.millis() >= order.until()) {
        order.refused().run();
      } else {
        shut.add(order);
      }
    }
  }

  /** An order that waits for the gate to open. */
  private record Shut(
      EndpointId endpoint,
      OrderKind kind,
      Consumer<FencingNumber> order,
      Runnable refused,
      long until) {}
}
