package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.request.LoadRequest;
import io.sequoiapass.gateway.request.QueuePlace;
import io.sequoiapass.gateway.request.RelayContext;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.List;
import java.util.Optional;

/** Requests loads of adapters from the coordinators. Safe for use by several threads. */
final class AdapterLoads implements RelayContext.AdapterSource {

  private final CoordinationNode node;
  private final EndpointDirectory directory;
  private final AdapterVersions versions;
  private final LoadWithdrawals withdrawals;

  AdapterLoads(
      CoordinationNode node,
      EndpointDirectory directory,
      AdapterVersions versions,
      LoadWithdrawals withdrawals) {
    this.node = node;
    this.directory = directory;
    this.versions = versions;
    this.withdrawals = withdrawals;
  }

  @Override
  public List<DataCentreId> loadable() {
    return node.coordinatedDataCentres();
  }

  @Override
  public Optional<QueuePlace> requestLoad(DataCentreId dataCentre, LoadRequest request) {
    if (request.waitMs() == 0) {
      return send(dataCentre, request, 0) ? Optional.of(QueuePlace.NONE) : Optional.empty();
    }
    LoadWithdrawals.Place place =
        withdrawals.enqueue(dataCentre, request.generation().adapter().orElseThrow());
    if (send(dataCentre, request, place.number())) {
      return Optional.of(place);
    }
    place.settled();
    return Optional.empty();
  }

  private boolean send(DataCentreId dataCentre, LoadRequest request, long number) {
    Generation generation = request.generation();
    AdapterName adapter = generation.adapter().orElseThrow();
    return node.send(
        dataCentre,
        new LinkMessage.LoadRequest(
            adapter,
            versions.newest(adapter),
            request.flow(),
            request.another(),
            generation.promptTokens(),
            generation.expectedOutputTokens(),
            request.maxDelayMs(),
            request.waitMs(),
            request.deadlineMs(),
            ReturnKey.of(generation, request.flow()),
            number,
            directory.isHeld(adapter),
            List.copyOf(request.excluded())));
  }

  @Override
  public void missed(
      DataCentreId dataCentre, EndpointId endpoint, AdapterName adapter, boolean early) {
    node.reportMiss(dataCentre, endpoint, adapter, early);
  }
}
