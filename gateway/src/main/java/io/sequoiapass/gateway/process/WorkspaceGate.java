package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ApiKey;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.ConfigurationCurrency;
import io.sequoiapass.coordination.process.UsageThrottle;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.version.Workspace;
import io.sequoiapass.gateway.request.CallerAccess;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.spi.CallerIdentity;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.ServingConfiguration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Decides whether a caller may use a route: whether its API key is known and provably still in
 * force, and whether the usage limit of its workspace allows the request.
 *
 * <p>Safe for use by several threads.
 */
final class WorkspaceGate {

  /**
   * Largest age of the configuration, as a share of the time after which a removed key must not be
   * accepted. The rest covers a watch of the store that misses changes for a second before it is
   * cut off.
   */
  private static final double MAX_AGE_SHARE = 0.75;

  /**
   * Share of the same time after which a daemon asks the store itself because coordinators do not
   * confirm the configuration.
   */
  private static final double ASK_AGE_SHARE = 0.55;

  private final ConfigurationCurrency currency;
  private final UsageThrottle throttle;
  private final Supplier<ServingConfiguration> configuration;
  private final Supplier<ClockReading> clocks;
  private final long maxAgeMs;
  private final long askAgeMs;
  private final LongSupplier configurationMs;

  /**
   * Creates a gate.
   *
   * @param currency proves how recently the configuration was in force
   * @param throttle applies the usage limits
   * @param configuration returns the configuration in use
   * @param clocks reads this host's clocks
   * @param revocationMs time after which a removed API key must not be accepted, in milliseconds;
   *     empty if that is not required
   * @param configurationMs returns the time after which a new configuration must be in force, in
   *     milliseconds
   */
  WorkspaceGate(
      ConfigurationCurrency currency,
      UsageThrottle throttle,
      Supplier<ServingConfiguration> configuration,
      Supplier<ClockReading> clocks,
      OptionalLong revocationMs,
      LongSupplier configurationMs) {
    this.currency = currency;
    this.throttle = throttle;
    this.configuration = configuration;
    this.clocks = clocks;
    this.maxAgeMs = share(revocationMs, MAX_AGE_SHARE);
    this.askAgeMs = share(revocationMs, ASK_AGE_SHARE);
    this.configurationMs = configurationMs;
  }

  private static long share(OptionalLong boundMs, double share) {
    return boundMs.isPresent() ? (long) (boundMs.getAsLong() * share) : Long.MAX_VALUE;
  }

  /** The result of {@link #identify}. */
  sealed interface Verdict {

    /**
     * The caller may use the route.
     *
     * @param identity whose request it is
     * @param workspace its workspace; empty for an anonymous caller
     */
    record Known(CallerIdentity identity, Optional<Workspace> workspace) implements Verdict {}

    /**
     * The caller is refused.
     *
     * @param kind the reason
     */
    record Denied(ErrorKind kind) implements Verdict {}
  }

  /** Returns who the caller is, or why it is refused. */
  Verdict identify(ServingConfiguration known, RouteSpec route, CallerFacts facts) {
    if (!known.workspaces().areKeysRequired()) {
      return new Verdict.Known(CallerIdentity.UNCHECKED, Optional.empty());
    }
    Optional<Workspace> workspace = facts.key().flatMap(known.workspaces()::find);
    if (workspace.isEmpty()) {
      return route.isPublic()
          ? new Verdict.Known(CallerIdentity.ANONYMOUS, Optional.empty())
          : new Verdict.Denied(unknownKey(facts.key()));
    }
    if (!route.isPublic() && ageMs() > maxAgeMs) {
      return new Verdict.Denied(ErrorKind.CONFIGURATION_NOT_CURRENT);
    }
    return new Verdict.Known(CallerIdentity.of(workspace.get().id()), workspace);
  }

  /** A key that was added a moment ago may be unknown here; it must not be denied for good. */
  private ErrorKind unknownKey(Optional<ApiKey> key) {
    return key.isEmpty() || ageMs() <= Math.min(maxAgeMs, configurationMs.getAsLong())
        ? ErrorKind.UNAUTHORIZED
        : ErrorKind.CONFIGURATION_NOT_CURRENT;
  }

  private long ageMs() {
    return currency.ageMs(clocks.get()).orElse(Long.MAX_VALUE);
  }

  /** Returns whether this daemon may rely on coordinators to confirm the configuration. */
  boolean isConfirmed() {
    return askAgeMs == Long.MAX_VALUE || ageMs() <= askAgeMs;
  }

  /** Charges a request to its workspace, or returns after how many milliseconds to retry. */
  OptionalLong charge(Workspace workspace, CallerFacts facts, long now) {
    return throttle.admit(workspace, workspace.limit().cost(facts.tokens()), now);
  }

  /** Returns the access of a request that was charged. */
  CallerAccess access(Verdict.Known caller, RouteSpec route, CallerFacts facts) {
    if (caller.workspace().isEmpty()) {
      return CallerAccess.unlimited(caller.identity());
    }
    Workspace workspace = caller.workspace().get();
    long cost = workspace.limit().cost(facts.tokens());
    return new CallerAccess(
        caller.identity(),
        workspace.priority(),
        () -> recheck(caller.identity(), route, facts),
        () -> throttle.refund(workspace.id(), cost));
  }

  /** Returns why a request that was accepted may no longer be sent; empty if it may. */
  Optional<ErrorKind> recheck(CallerIdentity identity, RouteSpec route, CallerFacts facts) {
    ServingConfiguration known = configuration.get();
    if (known == null) {
      return Optional.of(ErrorKind.NO_CONFIGURATION);
    }
    Verdict verdict = identify(known, route, facts);
    if (verdict instanceof Verdict.Denied denied) {
      return Optional.of(denied.kind());
    }
    return verdict instanceof Verdict.Known still && still.identity().equals(identity)
        ? Optional.empty()
        : Optional.of(ErrorKind.UNAUTHORIZED);
  }
}
