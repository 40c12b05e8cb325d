package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/**
 * Speeds of endpoints as their coordinators report them, with age limits on this daemon's clock.
 *
 * <p>Answers engines of lasting and passing differences in speed. The current speed is used for a
 * moment, then the lasting one while its coordinator sends anything about speeds, then none. Safe
 * for use by several threads.
 */
final class SharedSpeeds {

  /** Age limit of a current speed, in milliseconds. */
  static final long CURRENT_MS = 1_000;

  /**
   * How long lasting speeds are used without any message about speeds from their coordinator, in
   * milliseconds. Covers the change to another coordinator.
   */
  static final long LASTING_MS = 10_000;

  /** Smallest difference from the average speed that counts, as a logarithm. */
  private static final double MIN_DIFFERENCE = Math.log(1.25);

  private final Map<DataCentreId, Reported> reported = new ConcurrentHashMap<>();

  private static final class Reported {
    private final Map<EndpointId, Speed> speeds = new ConcurrentHashMap<>();
    private volatile long receivedAt;
  }

  private record Speed(long startTimeMs, double lasting, double current, long receivedAt) {}

  /**
   * Handles a coordinator's message.
   *
   * @param coordinator its data centre
   * @param message the speeds
   * @param known whether an endpoint exists; others are ignored
   * @param now the time, in milliseconds
   */
  void update(
      DataCentreId coordinator, RoomMessage.Speeds message, Predicate<EndpointId> known, long now) {
    Reported from = reported.computeIfAbsent(coordinator, id -> new Reported());
    if (message.snapshot()) {
      from.speeds.clear();
    }
    from.receivedAt = now;
    for (RoomMessage.EndpointSpeed one : message.speeds()) {
      if (known.test(one.endpoint())) {
        from.speeds.put(
            one.endpoint(), new Speed(one.startTimeMs(), one.lasting(), one.current(), now));
      }
    }
    from.speeds.keySet().removeIf(known.negate());
  }

  /**
   * Returns an endpoint's response time relative to the average; 1 if it is unknown.
   *
   * @param dataCentre its data centre
   * @param endpoint the endpoint
   * @param startTimeMs when its process started; speeds of another process do not count
   * @param now the time, in milliseconds
   */
  double slowdown(DataCentreId dataCentre, EndpointId endpoint, long startTimeMs, long now) {
    Reported from = reported.get(dataCentre);
    Speed speed = from == null ? null : from.speeds.get(endpoint);
    if (speed == null || speed.startTimeMs != startTimeMs || now - from.receivedAt > LASTING_MS) {
      return 1;
    }
    return significant(now - speed.receivedAt > CURRENT_MS ? speed.lasting : speed.current);
  }

  /**
   * Small differences are noise of few samples. If they counted, all daemons would send to the
   * endpoint that seems the fastest, and none of them would measure the others.
   */
  private static double significant(double ratio) {
    return Math.abs(Math.log(ratio)) < MIN_DIFFERENCE ? 1 : ratio;
  }

  /** Makes the current speeds of a data centre lapse, since its coordinator's link is lost. */
  void lost(DataCentreId coordinator) {
    Reported from = reported.get(coordinator);
    if (from != null) {
      from.speeds.replaceAll(
          (endpoint, speed) ->
              new Speed(speed.startTimeMs, speed.lasting, speed.lasting, speed.receivedAt));
    }
  }
}
