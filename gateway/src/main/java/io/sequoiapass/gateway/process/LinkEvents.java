package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.ConfigurationCurrency;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.PendingRequests;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.function.Consumer;

/**
 * Passes what coordinators report to the parts of this daemon that it concerns. Safe for use by
 * several threads.
 *
 * @param waiting requests that wait for adapters
 * @param peers the peers that coordinators select
 * @param members the daemons that they name
 * @param parts the parts of prompts that crash endpoints
 * @param currency how current the configuration is
 * @param metrics the counters
 * @param modules parts with messages of their own
 * @param clock the monotonic clock
 * @param onRelease receives the versions of adapters
 */
record LinkEvents(
    PendingRequests waiting,
    PeerDirectory peers,
    MemberDirectory members,
    PromptPartGuard parts,
    ConfigurationCurrency currency,
    GatewayMetrics metrics,
    List<LinkModule> modules,
    MillisClock clock,
    Consumer<LinkMessage.Release> onRelease)
    implements CoordinatorLink.Listener {

  /** Copies the modules. */
  LinkEvents {
    modules = List.copyOf(modules);
  }

  @Override
  public void received(DataCentreId coordinator, LinkMessage message) {
    modules.forEach(module -> module.receive(coordinator, message, clock.millis()));
  }

  @Override
  public List<LinkMessage> reports(DataCentreId coordinator) {
    return modules.stream()
        .flatMap(module -> module.report(coordinator, clock.millis()).stream())
        .toList();
  }

  @Override
  public void lost(DataCentreId coordinator) {
    modules.forEach(module -> module.lost(coordinator, clock.millis()));
  }

  @Override
  public void placed(AdapterName adapter) {
    waiting.placed(adapter);
  }

  @Override
  public void loadRejected(DataCentreId dataCentre, AdapterName adapter, long retryAfterMs) {
    waiting.loadRejected(dataCentre, adapter, retryAfterMs);
  }

  @Override
  public void permitReplied(EndpointGroup group, boolean granted) {
    waiting.permitReplied(group, granted);
  }

  @Override
  public void peersSelected(LinkMessage.Peers selected) {
    peers.update(selected);
  }

  @Override
  public void membersNamed(DataCentreId coordinator, LinkMessage.Members named) {
    members.update(coordinator, named);
  }

  @Override
  public void partsJudged(DataCentreId coordinator, LinkMessage.PartVerdicts verdicts) {
    parts.update(coordinator, verdicts);
  }

  @Override
  public LinkMessage knownVerdicts() {
    return parts.known();
  }

  @Override
  public void released(LinkMessage.Release release) {
    onRelease.accept(release);
  }

  @Override
  public void configurationProved(ClockReading asked, long revision) {
    currency.proved(asked, revision);
  }

  @Override
  public void changed() {
    metrics.count("sequoiapass_coordinator_changes_total");
  }
}
