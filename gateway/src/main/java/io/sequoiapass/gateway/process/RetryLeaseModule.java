package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.process.RetryLeaseAllocator;
import io.sequoiapass.coordination.process.RetryTerms;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongPredicate;

/** Answers the daemons that ask a coordinator to lease them slack of the retry budgets. */
final class RetryLeaseModule implements CoordinatorModule {

  /** Interval of the metric, in milliseconds. */
  private static final long REVIEW_MS = 1_000;

  private final DataCentreId here;
  private final RetryTerms terms;
  private final int dataCentres;
  private final LongPredicate mayGrant;
  private final MillisClock clock;
  private final DecisionLog log;
  private RetryLeaseAllocator<LinkedDaemon> allocator;
  private boolean started;
  private volatile Reserved reserved = new Reserved(Map.of(), Long.MIN_VALUE / 2);

  /** The leased retries, by the labels of the metric, and when they were counted. */
  private record Reserved(Map<String, Double> byService, long countedAt) {}

  /**
   * Creates a module without leases.
   *
   * @param here the coordinator's data centre
   * @param terms the budget that all daemons share
   * @param dataCentres number of data centres
   * @param mayGrant whether no other coordinator leases retries at a time
   * @param clock the monotonic clock
   * @param log the log
   * @param metrics the counters
   */
  RetryLeaseModule(
      DataCentreId here,
      RetryTerms terms,
      int dataCentres,
      LongPredicate mayGrant,
      MillisClock clock,
      DecisionLog log,
      GatewayMetrics metrics) {
    this.here = here;
    this.terms = terms;
    this.dataCentres = dataCentres;
    this.mayGrant = mayGrant;
    this.clock = clock;
    this.log = log;
    this.allocator = new RetryLeaseAllocator<>(terms, dataCentres, clock.millis());
    metrics.gauges("sequoiapass_retries_leased", this::reserved);
  }

  /** Returns nothing while this process does not coordinate. */
  private Map<String, Double> reserved() {
    Reserved last = reserved;
    return clock.millis() - last.countedAt() > 2 * REVIEW_MS ? Map.of() : last.byService();
  }

  @Override
  public void activated(boolean isFirst, long now) {
    allocator =
        isFirst
            ? RetryLeaseAllocator.withoutPredecessor(terms, dataCentres, now)
            : new RetryLeaseAllocator<>(terms, dataCentres, now);
    started = false;
  }

  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    if (!(message instanceof RoomMessage.RetryClaims claims) || from.daemon == null) {
      return;
    }
    boolean isHome = here.equals(from.dataCentre);
    boolean isSole = mayGrant.test(now);
    List<RoomMessage.ServiceGrant> grants = new ArrayList<>();
    for (RoomMessage.ServiceClaim claimed : claims.claims()) {
      ServiceId service = claimed.service();
      allocator
          .claim(from, isHome, service, claimed.claim(), isSole, now)
          .ifPresent(grant -> grants.add(new RoomMessage.ServiceGrant(service, grant)));
    }
    if (!grants.isEmpty()) {
      from.channel.send(LinkFrames.encode(new RoomMessage.RetryGrants(grants)));
    }
  }

  @Override
  public void unlinked(LinkedDaemon daemon, long now) {
    allocator.unlinked(daemon);
  }

  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    if (!started && allocator.hasStarted(now)) {
      started = true;
      log.event("retry_leases_began")
          .with("data_centre", here)
          .with("retries", allocator.units())
          .write();
    }
    if (now - reserved.countedAt() >= REVIEW_MS) {
      Map<String, Double> byService = new TreeMap<>();
      allocator
          .reserved(now)
          .forEach(
              (service, retries) ->
                  byService.put("{service=\"" + service + "\"}", (double) retries));
      reserved = new Reserved(byService, now);
    }
  }
}
