package io.sequoiapass.testbed.launch;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.launch.EndpointNode.EndpointKind;
import io.sequoiapass.testbed.wire.ObjectValues;
import io.sequoiapass.testbed.wire.PlatformObjects;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Writes the configuration objects of a cluster to its platform; confined to one thread. */
final class ClusterConfiguration {

  private static final int PLAIN_SERVICE_CONCURRENCY = 16;
  private static final int MAX_IN_FLIGHT = 100_000;

  private final ClusterSettings settings;
  private final List<DaemonNode> daemons;
  private final List<EndpointNode> endpoints;
  private final ClusterProxies proxies;

  ClusterConfiguration(
      ClusterSettings settings,
      List<DaemonNode> daemons,
      List<EndpointNode> endpoints,
      ClusterProxies proxies) {
    this.settings = settings;
    this.daemons = daemons;
    this.endpoints = endpoints;
    this.proxies = proxies;
  }

  void write(PlatformObjects objects) throws IOException, InterruptedException {
    objects.putHosts(new ObjectValues.Hosts(hosts()));
    objects.put(
        "preset", "current", new ObjectValues.Preset("ORDINARY", MillisClock.wall().millis()));
    for (EndpointNode endpoint : endpoints) {
      objects.put("endpoint", endpoint.id(), endpoint(endpoint));
    }
    writeServices(objects);
    for (int i = 0; i < settings.adapters(); i++) {
      objects.put("adapter", ClusterNames.adapter(i), adapter());
    }
  }

  private void writeServices(PlatformObjects objects) throws IOException, InterruptedException {
    objects.put("service", ClusterNames.NOTES, service(true, null));
    List<String> plain =
        endpoints.stream()
            .filter(endpoint -> endpoint.kind() == EndpointKind.SERVICE)
            .map(EndpointNode::id)
            .toList();
    if (!plain.isEmpty()) {
      objects.put("service", ClusterNames.SLIPS, service(false, plain));
    }
  }

  private static ObjectValues.Service service(boolean repeatable, List<String> plainEndpoints) {
    boolean plain = plainEndpoints != null;
    return new ObjectValues.Service(
        plain ? null : ClusterNames.MODEL,
        plain ? List.of() : List.of("*"),
        plainEndpoints,
        repeatable,
        "INTERACTIVE",
        MAX_IN_FLIGHT);
  }

  private static ObjectValues.Adapter adapter() {
    return new ObjectValues.Adapter(
        ClusterNames.MODEL,
        ClusterNames.CURRENT_VERSION,
        List.of(ClusterNames.PREVIOUS_VERSION, ClusterNames.CURRENT_VERSION));
  }

  private ObjectValues.Endpoint endpoint(EndpointNode node) {
    boolean engine = node.kind() == EndpointKind.ENGINE;
    return new ObjectValues.Endpoint(
        Addresses.text(proxies.endpointFor(node)),
        node.dataCentre(),
        node.host(),
        node.kind().name(),
        engine ? ClusterNames.MODEL : null,
        engine ? null : ClusterNames.SLIPS,
        engine ? settings.slots() : null,
        engine ? settings.maxStreams() : PLAIN_SERVICE_CONCURRENCY,
        engine && settings.checksFence(),
        "ACTIVE");
  }

  private List<ObjectValues.Host> hosts() {
    List<ObjectValues.Host> hosts = new ArrayList<>();
    for (DaemonNode daemon : daemons) {
      hosts.add(new ObjectValues.Host(daemon.host(), daemon.dataCentre(), "LIVE", List.of()));
    }
    for (EndpointNode node : endpoints) {
      hosts.add(new ObjectValues.Host(node.host(), node.dataCentre(), "LIVE", List.of(node.id())));
    }
    return hosts;
  }
}
