package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.OrderKind;
import io.sequoiapass.daemon.connection.engine.EngineClient;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import io.sequoiapass.daemon.process.placement.PlacementAction;
import java.util.Objects;
import java.util.Optional;

/**
 * Gives engines the orders to unload and load, each only if the gate still permits it.
 *
 * <p>Safe for use by several threads.
 */
final class LoadOrders {

  private final MillisClock clock;
  private final EngineClient engines;
  private final OrderGate gate;
  private final OwnerObserver observer;

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

  void carry(OwnedEndpoint endpoint, PlacementAction.Load load, Result result) {
    if (load.evict().isEmpty()) {
      load(endpoint, load, OrderKind.LOAD_INTO_FREE_SLOT, result);
      return;
    }
    Optional<FencingNumber> fence = permit(endpoint.id(), OrderKind.UNLOAD);
    if (fence.isEmpty()) {
      // The placement already counts the evicted adapter as gone; the engine still holds it.
      result.ended(Optional.empty(), true);
      return;
    }
    engines
        .unload(endpoint.address(), fence.get(), load.evict().get().value())
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                load(endpoint, load, OrderKind.LOAD_INTO_FREE_SLOT, result);
              } else {
                result.ended(Optional.empty(), true);
              }
            });
  }

  private void load(
      OwnedEndpoint endpoint, PlacementAction.Load load, OrderKind kind, Result result) {
    Optional<FencingNumber> fence = permit(endpoint.id(), kind);
    if (fence.isEmpty()) {
      result.ended(Optional.empty(), load.evict().isPresent());
      return;
    }
    long sentAt = clock.millis();
    engines
        .load(endpoint.address(), fence.get(), load.adapter())
        .whenComplete(
            (handle, failure) -> {
              observer.loadEnded(
                  endpoint.id(), load.adapter(), clock.millis() - sentAt, failure == null);
              result.ended(Optional.ofNullable(handle).map(LoadHandle::new), failure != null);
            });
  }

  private Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind) {
    return gate.permit(endpoint, kind);
  }
}
