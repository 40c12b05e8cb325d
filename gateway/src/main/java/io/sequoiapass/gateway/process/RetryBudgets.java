package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.process.RetryAllowance;
import io.sequoiapass.coordination.process.RetryTerms;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.spi.HostSettings;
import io.sequoiapass.gateway.version.ServingConfiguration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** The retry budgets of this daemon, by service. Safe for use by several threads. */
final class RetryBudgets implements LinkModule {

  /**
   * Up to so many services, leases are also kept for those without requests, so that the first one
   * can be retried. Bounds the size of reports.
   */
  private static final int MAX_IDLE = 8;

  private final DataCentreId here;
  private final RetryTerms terms;
  private final MillisClock clock;
  private final MillisClock wall;
  private final Supplier<ServingConfiguration> configuration;
  private final Map<ServiceId, SharedRetryBudget> budgets = new ConcurrentHashMap<>();

  /**
   * Creates unused budgets.
   *
   * @param settings this host, its data centre and the budget that all daemons share
   * @param configuration returns the configuration in use; null if there is none yet
   * @param clock the monotonic clock
   * @param wall the wall clock
   * @param metrics the counters
   */
  RetryBudgets(
      HostSettings settings,
      Supplier<ServingConfiguration> configuration,
      MillisClock clock,
      MillisClock wall,
      GatewayMetrics metrics) {
    this.configuration = configuration;
    this.here = settings.dataCentre();
    this.terms = settings.bounds().retryTerms();
    this.clock = clock;
    this.wall = wall;
    metrics.gauges("sequoiapass_retry_budget", this::values);
  }

  /** Returns the budget of a service. */
  SharedRetryBudget of(ServiceId service) {
    return budgets.computeIfAbsent(service, any -> new SharedRetryBudget(terms, clock, wall));
  }

  @Override
  public Optional<LinkMessage> report(DataCentreId coordinator, long now) {
    ServingConfiguration known = configuration.get();
    if (known != null) {
      known.services().forEach(spec -> of(spec.service()));
    }
    boolean claimsIdle = budgets.size() <= MAX_IDLE;
    List<RoomMessage.ServiceClaim> claims = new ArrayList<>();
    budgets.forEach(
        (service, budget) -> {
          if (claimsIdle || !budget.isIdle(now)) {
            budget
                .claim(coordinator, coordinator.equals(here), now)
                .ifPresent(claim -> claims.add(new RoomMessage.ServiceClaim(service, claim)));
          }
        });
    return claims.isEmpty() ? Optional.empty() : Optional.of(new RoomMessage.RetryClaims(claims));
  }

  @Override
  public void receive(DataCentreId coordinator, LinkMessage message, long now) {
    if (message instanceof RoomMessage.RetryGrants grants) {
      for (RoomMessage.ServiceGrant granted : grants.grants()) {
        of(granted.service()).granted(coordinator, granted.grant());
      }
    }
  }

  @Override
  public void lost(DataCentreId coordinator, long now) {
    budgets.values().forEach(budget -> budget.unlinked(coordinator));
  }

  private Map<String, Double> values() {
    long now = clock.millis();
    Map<String, Double> values = new TreeMap<>();
    budgets.forEach(
        (service, budget) -> {
          RetryAllowance.Usage usage = budget.usage(now).allowance();
          String labels = "{service=\"" + service + "\",part=\"%s\"}";
          values.put(labels.formatted("requests"), (double) usage.requests());
          values.put(labels.formatted("saved"), usage.saved());
          values.put(labels.formatted("borrowed"), usage.borrowed());
          values.put(labels.formatted("leased"), (double) usage.leased());
          values.put(labels.formatted("needed"), (double) usage.needed());
        });
    return values;
  }
}
