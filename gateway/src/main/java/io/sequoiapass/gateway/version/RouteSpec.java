package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.ServiceId;
import java.util.List;
import java.util.Objects;

/**
 * Describes one route: the requests that it matches, the services that answer them, and its limits.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param name the route's name
 * @param host the host name of the requests, in lower case
 * @param pathPrefix the prefix of the path; starts and ends with a slash
 * @param kind decides which requests may be repeated
 * @param timeoutMs the longest deadline of a request, in milliseconds
 * @param targetMs the target latency of an answer, or of a stream's first event, in milliseconds
 * @param gapTargetMs the target for the longest pause between two events, in milliseconds
 * @param priority the priority; 0 is the highest
 * @param targets the services that share the requests; not empty
 * @param maxAttempts the maximum number of attempts of one request that may have run
 * @param resumable whether a broken stream may be resumed at another endpoint
 * @param abandonMs how long callers wait for the start of an answer, in milliseconds
 * @param isPublic whether callers need no API key
 */
public record RouteSpec(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMs,
    long targetMs,
    long gapTargetMs,
    int priority,
    List<Target> targets,
    int maxAttempts,
    boolean resumable,
    long abandonMs,
    boolean isPublic) {

  /**
   * A service with its share of a route's requests.
   *
   * @param service the service
   * @param weight its share, relative to the others'
   */
  public record Target(ServiceId service, double weight) {}

  /** Validates the limits. */
  public RouteSpec {
    Objects.requireNonNull(kind, "kind");
    targets = List.copyOf(targets);
    if (targets.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    if (timeoutMs <= 0) {
      throw new IllegalArgumentException(
          "timeoutMs of " + name + " must be positive: " + timeoutMs);
    }
    if (maxAttempts < 1) {
      throw new IllegalArgumentException("maxAttempts of " + name + " below 1: " + maxAttempts);
    }
  }

  /** Returns whether a request that may have run may be sent again. */
  public boolean mayRepeat() {
    return kind.mayRepeat(resumable);
  }

  /** Returns whether answers are event streams. */
  public boolean streams() {
    return kind == RequestKind.STREAMING;
  }

  /**
   * Selects the service for one request at random, by weight.
   *
   * @param draw a random number from 0 (inclusive) to 1 (exclusive), one for each request
   */
  public ServiceId target(double draw) {
    double left = draw * targets.stream().mapToDouble(Target::weight).sum();
    for (Target target : targets) {
      left -= target.weight();
      if (left < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }
}
