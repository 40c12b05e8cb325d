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
 * Sends load and unload orders to engines, each only if the gate still permits it.
 *
 * <p>Safe for use by several threads.
 */
final class LoadOrders {

  /** Handle that no engine ever issues, so that the order to unload it changes nothing. */
  private static final String NEVER_LOADED = "never-loaded";

  /**
   * Longest wait for the gate: long enough for a handover that is abandoned, short compared with a
   * request's deadline.
   */
  private static final long GATE_WAIT_MS = 2_000;

  private final MillisClock clock;
  private final EngineClient engines;
  private final OrderGate gate;
  private final OwnerObserver observer;
  private final Set<EndpointId> fenceRaised = ConcurrentHashMap.newKeySet();
  private final Queue<PendingOrder> pending = new ConcurrentLinkedQueue<>();

  /** Receives the result of a load, on any thread. */
  interface ResultListener {

    /**
     * Called once for each load.
     *
     * @param handle the load's handle, or empty if nothing was loaded
     * @param uncertain whether the engine may hold something other than recorded
     */
    void ended(Optional<LoadHandle> handle, boolean uncertain);
  }

  LoadOrders(MillisClock clock, EngineClient engines, OrderGate gate, OwnerObserver observer) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.engines = Objects.requireNonNull(engines, "engines");
    this.gate = Objects.requireNonNull(gate, "gate");
    this.observer = Objects.requireNonNull(observer, "observer");
  }

  /**
   * Raises an endpoint's fencing number by an order that changes nothing. Until then the former
   * owner's number is the highest that the engine has received, and an order of that owner that is
   * still in transit would be obeyed after this daemon has read the engine's state.
   *
   * @param endpoint the endpoint
   * @return completes normally once the number is raised, or if this daemon may give no orders
   */
  CompletableFuture<Void> raiseFence(OwnedEndpoint endpoint) {
    Optional<FencingNumber> fence = gate.permit(endpoint.id(), OrderKind.LOAD_INTO_FREE_SLOT);
    if (fenceRaised.contains(endpoint.id()) || fence.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return engines
        .unload(endpoint.address(), fence.get(), NEVER_LOADED)
        .handle(
            (done, failure) -> {
              if (failure != null && !isNoSuchHandle(failure)) {
                throw new CompletionException(failure);
              }
              fenceRaised.add(endpoint.id());
              return null;
            });
  }

  private static boolean isNoSuchHandle(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof EngineOrderException refused
        && refused.refusal() == EngineRefusal.NO_SUCH_HANDLE;
  }

  /**
   * Records that another daemon owns an endpoint: its fencing number has to be raised again after
   * the next change of owner.
   */
  void forgetFence(EndpointId endpoint) {
    fenceRaised.remove(endpoint);
  }

  void execute(OwnedEndpoint endpoint, PlacementAction.Load load, ResultListener listener) {
    if (load.evict().isEmpty()) {
      load(endpoint, load, listener);
    } else if (fenceRaised.contains(endpoint.id()) && !gate.mayOthersServe()) {
      evict(endpoint, load, load.evict().get(), listener);
    } else {
      evictIfIdle(endpoint, load, load.evict().get(), listener);
    }
  }

  // A daemon that is cut off from this one may serve the endpoint as its backup owner. No daemon on
  // this side has a record of its streams; the engine has.
  private void evictIfIdle(
      OwnedEndpoint endpoint,
      PlacementAction.Load load,
      LoadHandle victim,
      ResultListener listener) {
    raiseFence(endpoint)
        .thenCompose(done -> engines.state(endpoint.address()))
        .whenComplete(
            (state, failure) -> {
              if (failure == null && isIdle(state, victim)) {
                evict(endpoint, load, victim, listener);
              } else {
                listener.ended(Optional.empty(), true);
              }
            });
  }

  private static boolean isIdle(EngineState state, LoadHandle victim) {
    return state.slots().stream()
        .filter(slot -> slot.handle().equals(victim.value()))
        .allMatch(slot -> slot.streams() == 0);
  }

  private void evict(
      OwnedEndpoint endpoint,
      PlacementAction.Load load,
      LoadHandle victim,
      ResultListener listener) {
    whenPermitted(
        endpoint.id(),
        OrderKind.UNLOAD,
        fence ->
            engines
                .unload(endpoint.address(), fence, victim.value())
                .whenComplete(
                    (done, failure) -> {
                      if (failure == null) {
                        load(endpoint, load, listener);
                      } else {
                        listener.ended(Optional.empty(), true);
                      }
                    }),
        // The placement has already removed the evicted adapter; the engine still holds it.
        () -> listener.ended(Optional.empty(), true));
  }

  private void load(OwnedEndpoint endpoint, PlacementAction.Load load, ResultListener listener) {
    whenPermitted(
        endpoint.id(),
        OrderKind.LOAD_INTO_FREE_SLOT,
        fence -> sendLoad(endpoint, load, fence, listener),
        () -> listener.ended(Optional.empty(), load.evict().isPresent()));
  }

  private void sendLoad(
      OwnedEndpoint endpoint,
      PlacementAction.Load load,
      FencingNumber fence,
      ResultListener listener) {
    long sentAt = clock.millis();
    engines
        .load(endpoint.address(), fence, load.adapter())
        .whenComplete(
            (handle, failure) -> {
              observer.loadEnded(
                  endpoint.id(), load.adapter(), clock.millis() - sentAt, failure == null);
              listener.ended(Optional.ofNullable(handle).map(LoadHandle::new), failure != null);
            });
  }

  // The gate closes briefly, as while a lease is renewed late or a handover is in progress.
  // Reporting that as a failed load would make the placement back off from an adapter without a
  // fault, so the order waits first.
  private void whenPermitted(
      EndpointId endpoint, OrderKind kind, Consumer<FencingNumber> order, Runnable refused) {
    Optional<FencingNumber> fence = gate.permit(endpoint, kind);
    if (fence.isPresent()) {
      order.accept(fence.get());
    } else {
      pending.add(new PendingOrder(endpoint, kind, order, refused, clock.millis() + GATE_WAIT_MS));
    }
  }

  /** Retries the orders that wait for the gate. */
  void retryPending() {
    for (int remaining = pending.size(); remaining > 0; remaining--) {
      PendingOrder order = pending.poll();
      if (order == null) {
        return;
      }
      Optional<FencingNumber> fence = gate.permit(order.endpoint(), order.kind());
      if (fence.isPresent()) {
        order.order().accept(fence.get());
      } else if (clock.millis() >= order.deadlineMs()) {
        order.refused().run();
      } else {
        pending.add(order);
      }
    }
  }

  /** Order that waits for the gate to open. */
  private record PendingOrder(
      EndpointId endpoint,
      OrderKind kind,
      Consumer<FencingNumber> order,
      Runnable refused,
      long deadlineMs) {}
}
