package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.EngineSpec;
import io.sequoiapass.gateway.version.ModelSpec;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** An engine, its adapters and an idle weight store, for tests of placement. */
final class PlanFixtures {

  static final ModelId MODEL = new ModelId("base");
  static final Flow FLOW = new Flow(1, Optional.empty());
  static final EndpointId ENGINE = new EndpointId("engine-1");

  private PlanFixtures() {}

  static EngineSpec engineOf(int slots) {
    return new EngineSpec(
        96, 200_000, 16_500, slots, 4, List.of(new ModelSpec(MODEL, 16_100, 600, a -> true)));
  }

  static LoadTime.Traffic idleStore() {
    return now -> 0;
  }

  static AdapterName adapter(int number) {
    return new AdapterName(MODEL, new AdapterId("a" + number));
  }

  /** Returns a load requirement that excludes no endpoint. */
  static LoadNeed need(int number) {
    return need(number, Set.of());
  }

  static LoadNeed need(int number, Set<EndpointId> excluded) {
    return new LoadNeed(
        adapter(number), 1, new RequestSize(800, 200), FLOW, excluded, Optional.empty());
  }

  static EndpointEntry entry(long startTimeMs, boolean holdsModel) {
    return entry(ENGINE, startTimeMs, holdsModel);
  }

  static EndpointEntry entry(EndpointId endpoint, long startTimeMs, boolean holdsModel) {
    return new EndpointEntry(
        endpoint,
        new ServiceId("notes"),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
        new DataCentreId("north"),
        96,
        false,
        startTimeMs,
        SoftwareVersion.UNSTATED,
        holdsModel ? List.of(new EndpointEntry.HeldModel(MODEL, 1, Map.of())) : List.of());
  }
}
