package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.ServiceId;
import java.util.List;
import java.util.Objects;

/**
 * Describes one route: which requests it takes, who answers them, and within what bounds.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param name the route's name
 * @param host the host name that callers ask for, in lower case
 * @param pathPrefix what the path begins with; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs the longest time that a caller is kept waiting, in milliseconds
 * @param targetMs the time within which an answer, or a stream's first event, is wanted
 * @param gapTargetMs the longest pause between two events that is wanted, in milliseconds
 * @param priority the rank, 0 first
 * @param targets the services that share the requests; not empty
 * @param maxAttempts the most endpoints that one request may be sent to
 * @param resumable whether a broken stream may go on at another endpoint
 * @param abandonMs how long callers wait for the beginning of an answer, in milliseconds
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
    long abandonMs) {

  /**
   * Gives a service its share of a route's requests.
   *
   * @param service the service
   * @param weight its share, relative to the others'
   */
  public record Target(ServiceId service, double weight) {}

  /** Checks the bounds. */
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

  /** Returns whether a request that may have run may be sent once more. */
  public boolean mayRepeat() {
    return kind.mayRepeat(resumable);
  }

  /** Returns whether answers are streams of events. */
  public boolean streams() {
    return kind == RequestKind.STREAMING;
  }

  /**
   * Returns the service for one request.
   *
   * @param draw a number from 0 to below 1, drawn anew for each request
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
