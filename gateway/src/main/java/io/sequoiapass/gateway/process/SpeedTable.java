package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;

/**
 * Speeds of a coordinator's endpoints, joined from the reports of all daemons.
 *
 * <p>Answers the load of engines that differ in speed for good, and of some that are several times
 * slower for half a second. Each endpoint is compared with the others of its service, so that a
 * service that is slow as a whole has no slow endpoints. Not safe for use by several threads.
 */
final class SpeedTable {

  /** Time constant of the lasting speed, in milliseconds. */
  private static final double LASTING_MS = 20_000;

  /** Time constant of the current speed, in milliseconds. */
  private static final double CURRENT_MS = 500;

  /** Number of samples that weigh as much as the assumption of average speed. */
  private static final double LASTING_PRIOR = 2;

  /** Number of samples that weigh as much as the assumption that the lasting speed holds. */
  private static final double CURRENT_PRIOR = 2;

  /** Longest time of one request, in milliseconds; more is an error of measurement. */
  private static final double MAX_SAMPLE_MS = 600_000;

  /** Largest number of samples in a report. */
  private static final int MAX_COUNT = 100_000;

  /** Bound of times relative to expected ones, in reports and in results. */
  private static final double MAX_RATIO = 8.5;

  private final Map<EndpointId, Entry> endpoints = new HashMap<>();
  private final Map<ServiceId, Scales> services = new HashMap<>();

  /** Sums that decay exponentially. */
  private static final class Sums {
    private final double constantMs;
    private double count;
    private double actualMs;
    private double expectedMs;
    private long at;

    Sums(double constantMs) {
      this.constantMs = constantMs;
    }

    void add(RoomMessage.SpeedSamples samples, long now) {
      decay(now);
      count += samples.count();
      actualMs += samples.actualMs();
      expectedMs += samples.expectedMs();
    }

    Sums decay(long now) {
      double left = Math.exp((at - now) / constantMs);
      count *= left;
      actualMs *= left;
      expectedMs *= left;
      at = now;
      return this;
    }

    /** Returns the time relative to a mean, between its own and a prior value. */
    double ratio(Sums mean, double prior, double priorSamples) {
      if (!(mean.actualMs > 0 && mean.expectedMs > 0)) {
        return prior;
      }
      double relativeMs = actualMs * mean.expectedMs / mean.actualMs;
      double priorMs = priorSamples * mean.expectedMs / mean.count;
      return (relativeMs + prior * priorMs) / (expectedMs + priorMs);
    }
  }

  private static final class Scales {
    private final Sums lasting = new Sums(LASTING_MS);
    private final Sums current = new Sums(CURRENT_MS);

    void add(RoomMessage.SpeedSamples samples, long now) {
      lasting.add(samples, now);
      current.add(samples, now);
    }
  }

  private record Entry(ServiceId service, long startTimeMs, Scales scales) {}

  /**
   * Adds one daemon's samples of an endpoint.
   *
   * @param service the endpoint's service
   * @param samples the samples, of the process that is known under the endpoint's name
   * @param now the time, in milliseconds
   * @return false if the samples are impossible, which changes nothing
   */
  boolean add(ServiceId service, RoomMessage.SpeedSamples samples, long now) {
    if (!isPossible(samples)) {
      return false;
    }
    Entry entry = endpoints.get(samples.endpoint());
    if (entry == null || entry.startTimeMs != samples.startTimeMs()) {
      entry = new Entry(service, samples.startTimeMs(), new Scales());
      endpoints.put(samples.endpoint(), entry);
    }
    entry.scales.add(samples, now);
    services.computeIfAbsent(service, name -> new Scales()).add(samples, now);
    return true;
  }

  private static boolean isPossible(RoomMessage.SpeedSamples samples) {
    double limitMs = MAX_SAMPLE_MS * samples.count();
    return samples.count() > 0
        && samples.count() <= MAX_COUNT
        && samples.expectedMs() > 0
        && samples.expectedMs() <= limitMs
        && samples.actualMs() >= 0
        && samples.actualMs() <= Math.min(limitMs, MAX_RATIO * samples.expectedMs());
  }

  /** Removes the endpoints of which a process, named by its start time, does not exist. */
  void retain(BiPredicate<EndpointId, Long> exists) {
    endpoints.entrySet().removeIf(e -> !exists.test(e.getKey(), e.getValue().startTimeMs));
    services
        .keySet()
        .removeIf(name -> endpoints.values().stream().noneMatch(e -> e.service.equals(name)));
  }

  /** Removes all endpoints. */
  void clear() {
    endpoints.clear();
    services.clear();
  }

  /** Returns the speed of an endpoint; empty if there are no samples. */
  Optional<RoomMessage.EndpointSpeed> speed(EndpointId endpoint, long now) {
    return Optional.ofNullable(endpoints.get(endpoint)).map(entry -> speed(endpoint, entry, now));
  }

  /** Returns the speeds of all endpoints with samples. */
  List<RoomMessage.EndpointSpeed> speeds(long now) {
    List<RoomMessage.EndpointSpeed> speeds = new ArrayList<>();
    endpoints.forEach((endpoint, entry) -> speeds.add(speed(endpoint, entry, now)));
    return speeds;
  }

  private RoomMessage.EndpointSpeed speed(EndpointId endpoint, Entry entry, long now) {
    Scales own = entry.scales;
    Scales service = services.get(entry.service);
    double lasting = own.lasting.decay(now).ratio(service.lasting.decay(now), 1, LASTING_PRIOR);
    double current =
        own.current.decay(now).ratio(service.current.decay(now), lasting, CURRENT_PRIOR);
    return new RoomMessage.EndpointSpeed(
        endpoint, entry.startTimeMs, bounded(lasting), bounded(current));
  }

  private static double bounded(double ratio) {
    return Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio));
  }
}
