package io.sequoiapass.testbed.policy;

import java.util.ArrayList;
import java.util.List;

/** Simulated weight store: four loads per second, shared evenly by the loads in progress. */
final class WeightStore {

  /** Duration of a load without contention. */
  static final double ALONE_MS = 250;

  /** A load in progress. */
  static final class Transfer {
    final Engine engine;
    final Engine.Slot slot;
    private double remainingMs = ALONE_MS;

    Transfer(Engine engine, Engine.Slot slot) {
      this.engine = engine;
      this.slot = slot;
    }
  }

  private final List<Transfer> active = new ArrayList<>();
  private double lastMs;

  void add(double nowMs, Transfer transfer) {
    advance(nowMs);
    active.add(transfer);
  }

  void cancel(double nowMs, Engine engine) {
    advance(nowMs);
    active.removeIf(transfer -> transfer.engine == engine);
  }

  double nextEndMs() {
    double least = Double.POSITIVE_INFINITY;
    for (Transfer transfer : active) {
      least = Math.min(least, transfer.remainingMs);
    }
    return lastMs + Math.max(0, least) * active.size();
  }

  /** Removes and returns the transfer that ends at the given time. */
  Transfer takeEnded(double nowMs) {
    advance(nowMs);
    Transfer first = active.get(0);
    for (Transfer transfer : active) {
      if (transfer.remainingMs < first.remainingMs) {
        first = transfer;
      }
    }
    active.remove(first);
    return first;
  }

  boolean idle() {
    return active.isEmpty();
  }

  private void advance(double nowMs) {
    for (Transfer transfer : active) {
      transfer.remainingMs -= (nowMs - lastMs) / active.size();
    }
    lastMs = nowMs;
  }
}
