package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.request.LoadRequest;
import io.sequoiapass.gateway.request.RelayContext;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.List;

/** Requests loads of adapters from the coordinators. Safe for use by several threads. */
final class AdapterLoads implements RelayContext.AdapterSource {

  private final CoordinationNode node;
  private final EndpointDirectory directory;
  private final AdapterVersions versions;

  AdapterLoads(CoordinationNode node, EndpointDirectory directory, AdapterVersions versions) {
    this.node = node;
    this.directory = directory;
    this.versions = versions;
  }

  @Override
  public List<DataCentreId> loadable() {
    return node.coordinatedDataCentres();
  }

  @Override
  public boolean requestLoad(DataCentreId dataCentre, LoadRequest request) {
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
            directory.isHeld(adapter),
            List.copyOf(request.excluded())));
  }

  @Override
  public void missed(
      DataCentreId dataCentre, EndpointId endpoint, AdapterName adapter, boolean early) {
    node.reportMiss(dataCentre, endpoint, adapter, early);
  }
}
