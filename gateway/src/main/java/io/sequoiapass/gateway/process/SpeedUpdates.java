package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the changed speeds that a group of daemons is to receive, within a budget.
 *
 * <p>Answers the load of 12,000 endpoints whose speeds all change, before daemons that may spend 3
 * KB a second. Not safe for use by several threads.
 */
final class SpeedUpdates {

  /** Most changes in one round. */
  static final int MAX_CHANGES = 100;

  /** Smallest change of a lasting speed that is sent, as a logarithm. */
  private static final double LASTING_STEP = Math.log(1.1);

  /**
   * Smallest change of a current speed that is sent, as a logarithm: less is noise of a few
   * samples, and takes the budget of others.
   */
  private static final double CURRENT_STEP = Math.log(1.5);

  /**
   * When a current speed is sent again, in milliseconds: a round of the longest interval before it
   * lapses.
   */
  private static final long RESEND_MS = SharedSpeeds.CURRENT_MS - 500;

  /** Interval of a message without changes, which keeps lasting speeds in use, in milliseconds. */
  private static final long KEEP_ALIVE_MS = 2_000;

  private static final double MS_PER_S = 1_000;

  private final boolean sendsCurrent;
  private final double changesPerS;
  private final Map<EndpointId, Sent> sent = new HashMap<>();
  private double budget = MAX_CHANGES;
  private long refilledAt = Long.MIN_VALUE;
  private long messageAt = Long.MIN_VALUE;

  private record Sent(RoomMessage.EndpointSpeed speed, long at) {}

  private record Change(RoomMessage.EndpointSpeed speed, double size) {}

  /**
   * Creates a selection without endpoints.
   *
   * @param sendsCurrent whether current speeds are sent, rather than lasting ones only
   * @param changesPerS the largest number of changes a second over a longer time
   */
  SpeedUpdates(boolean sendsCurrent, double changesPerS) {
    this.sendsCurrent = sendsCurrent;
    this.changesPerS = changesPerS;
  }

  /**
   * Returns the message that is due: the largest changes, or none for a sign that speeds hold.
   *
   * @param speeds the speeds of all endpoints
   * @param now the time, in milliseconds
   */
  Optional<RoomMessage.Speeds> due(List<RoomMessage.EndpointSpeed> speeds, long now) {
    refill(now);
    List<RoomMessage.EndpointSpeed> changes =
        speeds.stream()
            .map(this::reduced)
            .map(speed -> new Change(speed, size(speed, now)))
            .filter(change -> change.size() >= 1)
            .sorted(Comparator.comparingDouble(Change::size).reversed())
            .limit((long) budget)
            .map(Change::speed)
            .toList();
    boolean isQuiet = changes.isEmpty() && (sent.isEmpty() || now < messageAt + KEEP_ALIVE_MS);
    if (isQuiet) {
      return Optional.empty();
    }
    budget -= changes.size();
    messageAt = now;
    changes.forEach(speed -> sent.put(speed.endpoint(), new Sent(speed, now)));
    return Optional.of(new RoomMessage.Speeds(false, changes));
  }

  /** Returns what a daemon has to receive first: the speeds of endpoints that were sent before. */
  RoomMessage.Speeds snapshot(List<RoomMessage.EndpointSpeed> speeds) {
    return new RoomMessage.Speeds(
        true,
        speeds.stream()
            .filter(speed -> sent.containsKey(speed.endpoint()))
            .map(this::reduced)
            .toList());
  }

  /** Removes the endpoints that are not among those with speeds. */
  void retain(List<RoomMessage.EndpointSpeed> speeds) {
    sent.keySet().retainAll(speeds.stream().map(RoomMessage.EndpointSpeed::endpoint).toList());
  }

  /** Starts anew. */
  void clear() {
    sent.clear();
    budget = MAX_CHANGES;
  }

  private void refill(long now) {
    if (refilledAt != Long.MIN_VALUE) {
      budget = Math.min(MAX_CHANGES, budget + changesPerS * (now - refilledAt) / MS_PER_S);
    }
    refilledAt = now;
  }

  private RoomMessage.EndpointSpeed reduced(RoomMessage.EndpointSpeed speed) {
    return sendsCurrent
        ? speed
        : new RoomMessage.EndpointSpeed(
            speed.endpoint(), speed.startTimeMs(), speed.lasting(), speed.lasting());
  }

  /** Returns the size of a change, where the smallest one that is sent is 1. */
  private double size(RoomMessage.EndpointSpeed speed, long now) {
    Sent last = sent.get(speed.endpoint());
    boolean isKnown = last != null && last.speed.startTimeMs() == speed.startTimeMs();
    double lasting = isKnown ? last.speed.lasting() : 1;
    boolean isLapsed = !isKnown || now - last.at >= RESEND_MS;
    double current = isLapsed ? lasting : last.speed.current();
    double currentSize =
        sendsCurrent ? Math.abs(Math.log(speed.current() / current)) / CURRENT_STEP : 0;
    return Math.max(Math.abs(Math.log(speed.lasting() / lasting)) / LASTING_STEP, currentSize);
  }
}
