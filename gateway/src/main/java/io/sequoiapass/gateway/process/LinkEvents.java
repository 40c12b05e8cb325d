package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.ConfigurationCurrency;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.PendingRequests;
import io.sequoiapass.gateway.version.AdapterName;
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
 * @param onRelease receives the versions of adapters
 */
record LinkEvents(
    PendingRequests waiting,
    PeerDirectory peers,
    MemberDirectory members,
    PromptPartGuard parts,
    ConfigurationCurrency currency,
    GatewayMetrics metrics,
    Consumer<LinkMessage.Release> onRelease)
    implements CoordinatorLink.Listener {

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
