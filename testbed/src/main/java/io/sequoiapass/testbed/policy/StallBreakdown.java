package io.sequoiapass.testbed.policy;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * StallBreakdown of the stall time of one run by part and by cause.
 *
 * <p>Not safe for use by several threads.
 */
final class StallBreakdown {

  private final Map<StallPart, Double> partMs = new EnumMap<>(StallPart.class);
  private final Map<LoadCause, Double> causeMs = new EnumMap<>(LoadCause.class);
  private final Map<LoadCause, Integer> loads = new EnumMap<>(LoadCause.class);

  /** Adds the wait of a request until the adapter in a slot was ready. */
  void waited(Engine.Slot slot, double queuedMs, double readyMs) {
    double beginMs = Math.min(readyMs, Math.max(queuedMs, slot.beginMs));
    double loadingMs = readyMs - beginMs;
    double aloneShare = Math.min(1, WeightStore.ALONE_MS / (slot.readyMs - slot.beginMs));
    add(StallPart.TURN, beginMs - queuedMs);
    add(StallPart.TRANSFER, loadingMs * aloneShare);
    add(StallPart.OVERLAP, loadingMs * (1 - aloneShare));
    causeMs.merge(slot.cause, readyMs - queuedMs, Double::sum);
  }

  void lost(double waitedMs) {
    add(StallPart.LOST, waitedMs);
  }

  void load(LoadCause cause) {
    loads.merge(cause, 1, Integer::sum);
  }

  private void add(StallPart part, double waitedMs) {
    partMs.merge(part, waitedMs, Double::sum);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder("  stall s");
    for (StallPart part : StallPart.values()) {
      text.append(
          String.format(Locale.ROOT, " %s=%.1f", part, partMs.getOrDefault(part, 0.0) / 1000));
    }
    text.append("; by load");
    for (LoadCause cause : LoadCause.values()) {
      text.append(
          String.format(
              Locale.ROOT,
              " %s=%.1f (%d loads)",
              cause,
              causeMs.getOrDefault(cause, 0.0) / 1000,
              loads.getOrDefault(cause, 0)));
    }
    return text.toString();
  }
}
