package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.spi.CallerIdentity;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Supplier;

/**
 * What a caller was granted when its request was accepted.
 *
 * @param identity whose request it is
 * @param priority the priority of the caller's workspace; empty to use the route's
 * @param recheck returns why the request may no longer be sent, if so: its key may have been
 *     removed while it waited, or the process suspended
 * @param notRun runs if the request ends without having run, since it must not count as usage then
 */
public record CallerAccess(
    CallerIdentity identity,
    OptionalInt priority,
    Supplier<Optional<ErrorKind>> recheck,
    Runnable notRun) {

  /**
   * Returns the flow of a request. The workspace's priority takes precedence over the route's.
   * Where callers need no key, all requests share one flow, and room is given as if all were alike.
   *
   * @param route the request's route
   */
  public Flow flow(RouteSpec route) {
    return identity.workspace().isEmpty()
        ? Flow.COMMON
        : Flow.of(priority.orElse(route.priority()), identity.workspace());
  }

  /**
   * Returns the same access with a further action for a request that ends without having run.
   *
   * @param action the action
   */
  public CallerAccess onNotRun(Runnable action) {
    Runnable both =
        () -> {
          notRun.run();
          action.run();
        };
    return new CallerAccess(identity, priority, recheck, both);
  }

  /**
   * Returns access that is not checked again and not counted.
   *
   * @param identity whose request it is
   */
  public static CallerAccess unlimited(CallerIdentity identity) {
    return new CallerAccess(identity, OptionalInt.empty(), Optional::empty, () -> {});
  }
}
