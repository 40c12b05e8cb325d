package io.sequoiapass.testbed.policy;

import java.util.ArrayList;
import java.util.List;

/** The weight store: four loads a second, shared evenly by the loads under way. */
final class WeightStore {

  /** A load's time when it is alone. */
  static final double ALONE_MS = 250;

  /** One load under way. */
  static final class Transfer {
    final Engine engine;
    final Engine.Slot slot;
    private double leftMs = ALONE_MS;

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
      least = Math.min(least, transfer.leftMs);
    }
    return lastMs + Math.max(0, least) * active.size();
  }

  /** Takes out the transfer that ended at this time. */
  Transfer takeEnded(double nowMs) {
    advance(nowMs);
    Transfer first = active.get(0);
    for (Transfer transfer : active) {
      if (transfer.leftMs < first.leftMs) {
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
      transfer.leftMs -= (nowMs - lastMs) / active.size();
    }
    lastMs = nowMs;
  }
}
