package io.sequoiapass.daemon.process;

import com.codahale.metrics.MetricRegistry;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.daemon.process.entry.EntryShards;
import io.sequoiapass.daemon.process.owner.Owner;
import io.sequoiapass.daemon.process.ownership.OwnershipNode;
import io.sequoiapass.daemon.process.timeline.Timeline;
import io.sequoiapass.daemon.process.timeline.TimelineQuery;
import io.sequoiapass.daemon.version.ConfigurationNode;

/**
 * State of a running daemon for the operators' API.
 *
 * @param daemon its name
 * @param dataCentre its data centre
 * @param incarnation the number of its process
 * @param registry its metrics
 * @param timeline its recorded events
 * @param configuration its configuration
 * @param ownership its lease and endpoints
 * @param entries callers' requests in flight
 * @param owner attempts in flight
 * @param rounds its control timer, which tracks the connections to owners
 * @param stop its planned stop
 */
record DaemonView(
    DaemonId daemon,
    DataCentreId dataCentre,
    long incarnation,
    MetricRegistry registry,
    Timeline timeline,
    ConfigurationNode configuration,
    OwnershipNode ownership,
    EntryShards entries,
    Owner owner,
    ControlRounds rounds,
    PlannedStop stop)
    implements OperatorView {

  @Override
  public boolean ready() {
    return stop.phase().isReady() && configuration.ready() && rounds.reachesOwners();
  }

  @Override
  public String metrics() {
    return MetricsJson.of(registry);
  }

  @Override
  public String status() {
    return new StatusReport(
            daemon.value(),
            dataCentre.value(),
            incarnation,
            ready(),
            stop.phase() != StopSequence.Phase.SERVING,
            ownership.leaseStatus().name(),
            ownership.owned(),
            configuration.snapshot().revision(),
            configuration.preset().name(),
            entries.size(),
            owner.size())
        .json();
  }

  @Override
  public String timeline(TimelineQuery query) {
    return timeline.json(query);
  }

  @Override
  public void drain() {
    stop.begin();
  }
}
