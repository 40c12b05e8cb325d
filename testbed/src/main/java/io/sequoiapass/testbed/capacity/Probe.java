package io.sequoiapass.testbed.capacity;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.ApiKey;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.process.LeaseObserver;
import io.sequoiapass.coordination.process.LeaseSettings;
import io.sequoiapass.coordination.process.MemberState;
import io.sequoiapass.coordination.process.Membership;
import io.sequoiapass.coordination.process.MembershipSettings;
import io.sequoiapass.coordination.process.OwnershipDelta;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.process.PlatformConnectivity;
import io.sequoiapass.coordination.process.PlatformReport;
import io.sequoiapass.coordination.process.UsageThrottle;
import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.ConfigurationStore;
import io.sequoiapass.coordination.version.Workspaces;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerFrames;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.platform.ObjectCodec;
import io.sequoiapass.daemon.process.entry.AffinityRoutes;
import io.sequoiapass.daemon.process.placement.AdaptivePlacement;
import io.sequoiapass.daemon.process.placement.EndpointStatus;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import io.sequoiapass.daemon.process.placement.PlacementRequest;
import io.sequoiapass.daemon.process.placement.PlacementSettings;
import io.sequoiapass.daemon.process.placement.PlacementWeights;
import io.sequoiapass.daemon.process.placement.Resident;
import io.sequoiapass.daemon.process.placement.Urgency;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Benchmarks, each with a series of sizes and the target size of the requirements.
 *
 * <p>Each measurement creates its own state. Not safe for use by several threads.
 */
enum Probe {
  /** Memory that the configuration occupies. */
  CONFIGURATION_MEMORY(
      "configuration held, MB", "adapters", List.of(3_375, 6_750, 13_500, 27_000), 27_000) {
    @Override
    double measure(int size) {
      return MicroBenchmark.megabytesOf(() -> store(Fleet.adapters(size)));
    }
  },
  /** Time to apply one change. */
  CONFIGURATION_CHANGE(
      "applying one change, us", "adapters", List.of(3_375, 6_750, 13_500, 27_000), 27_000) {
    @Override
    double measure(int size) {
      ConfigurationStore store = store(Fleet.adapters(size));
      List<ConfigurationObject> changes = Fleet.adapters(size);
      MicroBenchmark.Counter version = new MicroBenchmark.Counter(size);
      return MicroBenchmark.microsOf(
          () ->
              store.apply(
                  0, List.of(withNextVersion(changes.get(version.next() % size), version))));
    }
  },
  /** Memory that the workspaces of one configuration occupy, with two keys each. */
  WORKSPACES_MEMORY(
      "workspaces held, MB", "workspaces", List.of(3_375, 6_750, 13_500, 27_000), 27_000) {
    @Override
    double measure(int size) {
      return MicroBenchmark.megabytesOf(() -> Fleet.workspaces(size));
    }
  },
  /** Time to identify a caller and to apply the usage limit of its workspace. */
  WORKSPACE_DECISION(
      "identifying a caller and applying its limit, us",
      "workspaces",
      List.of(3_375, 6_750, 13_500, 27_000),
      27_000) {
    @Override
    double measure(int size) {
      Workspaces workspaces = Fleet.workspaces(size);
      UsageThrottle throttle = new UsageThrottle(() -> 0);
      throttle.update(Fleet.DATA_CENTRE, List.of(), true, Fleet.DAEMONS_OF_A_CENTRE, 0);
      MicroBenchmark.Counter caller = new MicroBenchmark.Counter(0);
      return MicroBenchmark.microsOf(
          () -> {
            ApiKey key = ApiKey.of(Fleet.secret(caller.next() % size));
            return throttle.admit(workspaces.find(key).orElseThrow(), 1_000, 0);
          });
    }
  },
  /** Size of a pushed batch of changes on the wire. */
  CHANGE_BYTES("pushing one batch of changes, B", "changes", List.of(1, 2, 4, 8, 16), 1) {
    @Override
    double measure(int size) {
      List<String> texts = Fleet.adapters(size).stream().map(ObjectCodec::text).toList();
      return PeerFrames.encode(new PeerMessage.ObjectsPush(texts, false, true, List.of())).length
          + MicroBenchmark.FRAME_OVERHEAD_BYTES;
    }
  },
  /** Bytes per second of heartbeats to all neighbours. */
  HEARTBEAT_BYTES(
      "heartbeats to neighbours, B/s at one a second", "neighbours", List.of(3, 7, 16, 33), 16) {
    @Override
    double measure(int size) {
      int frame = PeerFrames.encode(heartbeat()).length + MicroBenchmark.FRAME_OVERHEAD_BYTES;
      return (double) frame * size;
    }
  },
  /** Time to process one round of received heartbeats. */
  HEARTBEAT_TIME("hearing a round of heartbeats, us", "neighbours", List.of(4, 8, 17, 34), 17) {
    @Override
    double measure(int size) {
      List<DaemonId> daemons = Fleet.daemons(size);
      Membership membership = Membership.create(MembershipSettings.DEFAULT, 0);
      PlatformConnectivity contact = PlatformConnectivity.create(LeaseSettings.DEFAULT, 0);
      LeaseObserver observer = LeaseObserver.create(LeaseSettings.DEFAULT, contact);
      byte[] frame = PeerFrames.encode(heartbeat());
      MicroBenchmark.Counter now = new MicroBenchmark.Counter(0);
      return MicroBenchmark.microsOf(
          () -> {
            long time = now.next();
            for (DaemonId daemon : daemons) {
              PeerMessage.Heartbeat beat = (PeerMessage.Heartbeat) MicroBenchmark.decode(frame);
              membership.heartbeatReceived(time, daemon, 1, MemberState.ALIVE);
              observer.leaseVersionReceived(time, daemon, beat.platform().leaseVersion());
            }
            return membership.tick(time);
          });
    }
  },
  /** Size of an ownership table on the wire. */
  TABLE_BYTES("one ownership table, B", "endpoints", List.of(65, 130, 260, 520), 520) {
    @Override
    double measure(int size) {
      PeerMessage push = new PeerMessage.TablePush(Fleet.DATA_CENTRE, table(size));
      return PeerFrames.encode(push).length + MicroBenchmark.FRAME_OVERHEAD_BYTES;
    }
  },
  /** Size of the ownership delta when four endpoints move to other owners. */
  MOVE_BYTES("delta of four moved endpoints, B", "endpoints", List.of(65, 130, 260, 520), 520) {
    @Override
    double measure(int size) {
      return deltaBytes(size, 4);
    }
  },
  /** Size of the ownership delta when the peers take over all endpoints of one of 17 daemons. */
  TAKEOVER_BYTES("delta of a takeover, B", "endpoints", List.of(65, 130, 260, 520), 520) {
    @Override
    double measure(int size) {
      return deltaBytes(size, size / Fleet.DAEMONS_OF_A_CENTRE);
    }
  },
  /** Time of one round of ownership decisions without changes. */
  OWNERSHIP_ROUND(
      "a round of ownership decisions, us", "endpoints", List.of(65, 130, 260, 520), 520) {
    @Override
    double measure(int size) {
      return OwnershipRound.micros(size);
    }
  },
  /** Time to route one request. */
  ROUTING("routing one request, us", "endpoints", List.of(250, 500, 1_000, 2_000), 2_000) {
    @Override
    double measure(int size) {
      ConfigurationSnapshot snapshot = store(Fleet.endpoints(size)).snapshot();
      AffinityRoutes routes =
          new AffinityRoutes(
              MillisClock.monotonic(),
              PlacementWeights.STALLS,
              endpoint -> Optional.of(Fleet.daemons(1).get(0)),
              daemon -> Optional.of(new DiscardingChannel()));
      MicroBenchmark.Counter number = new MicroBenchmark.Counter(0);
      return MicroBenchmark.microsOf(
          () ->
              routes.find(
                  new RouteTarget.Engine(
                      Fleet.MODEL, AdapterVersion.parse("adapter-" + number.next() % 500 + "@v1")),
                  snapshot,
                  Optional.empty(),
                  Set.of()));
    }
  },
  /** Time to place and finish one request. */
  PLACEMENT("placing and ending one request, us", "endpoints owned", List.of(4, 8, 16, 32), 30) {
    @Override
    double measure(int size) {
      AdaptivePlacement placement = placement(size);
      MicroBenchmark.Counter number = new MicroBenchmark.Counter(0);
      return MicroBenchmark.microsOf(
          () -> {
            int next = (int) number.next();
            RequestId id = new RequestId("request-" + next);
            placement.requestArrived(next, request(id, next % size, next));
            return placement.requestFinished(next, id);
          });
    }
  };

  private final String description;
  private final String unit;

  // Created by List.copyOf, so it is immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final List<Integer> sizes;

  private final int target;

  Probe(String description, String unit, List<Integer> sizes, int target) {
    this.description = description;
    this.unit = unit;
    this.sizes = List.copyOf(sizes);
    this.target = target;
  }

  /** Returns the value at a size. */
  abstract double measure(int size);

  String description() {
    return description;
  }

  /** Returns the unit of the sizes. */
  String unit() {
    return unit;
  }

  List<Integer> sizes() {
    return sizes;
  }

  /** Returns the target size of the requirements. */
  int target() {
    return target;
  }

  private static ConfigurationStore store(List<ConfigurationObject> objects) {
    ConfigurationStore store =
        ConfigurationStore.create(ConfigurationStore.TOMBSTONE_RETENTION_MILLIS);
    store.apply(0, objects);
    return store;
  }

  private static ConfigurationObject withNextVersion(
      ConfigurationObject object, MicroBenchmark.Counter version) {
    ConfigurationObject.AdapterRecord adapter = (ConfigurationObject.AdapterRecord) object;
    return new ConfigurationObject.AdapterRecord(
        adapter.id(), version.next(), adapter.model(), adapter.current(), adapter.versions());
  }

  private static PeerMessage.Heartbeat heartbeat() {
    PlatformReport report = new PlatformReport(false, 1_234_567, 7_654_321, 987_654_321);
    return new PeerMessage.Heartbeat(
        1_796_246_933_064L, false, 0x7edc_ba98_7654_3210L, report, 987_654_321, 2, false);
  }

  private static OwnershipTable table(int endpoints) {
    List<DaemonId> daemons = Fleet.daemons(Fleet.DAEMONS_OF_A_CENTRE);
    Map<EndpointId, DaemonId> owners = new HashMap<>();
    Map<DaemonId, Long> incarnations = new HashMap<>();
    for (int i = 0; i < endpoints; i++) {
      DaemonId owner = daemons.get(i % daemons.size());
      owners.put(Fleet.endpoint(i), owner);
      incarnations.put(owner, 1_796_246_933_064L);
    }
    return OwnershipTable.of(1_234_567, 99, owners, incarnations);
  }

  /**
   * Returns the frame size of a delta that moves the first endpoints of one daemon to its peers.
   */
  private static int deltaBytes(int endpoints, int moved) {
    OwnershipTable base = table(endpoints);
    List<DaemonId> daemons = Fleet.daemons(Fleet.DAEMONS_OF_A_CENTRE);
    Map<EndpointId, DaemonId> owners = new HashMap<>(base.owners());
    List<EndpointId> leaving = List.copyOf(base.ownedBy(daemons.get(0)));
    for (int i = 0; i < Math.min(moved, leaving.size()); i++) {
      owners.put(leaving.get(i), daemons.get(1 + i % (daemons.size() - 1)));
    }
    OwnershipTable next =
        OwnershipTable.of(base.version() + 1, base.epoch() + 1, owners, base.incarnations());
    PeerMessage push =
        new PeerMessage.TableDelta(Fleet.DATA_CENTRE, OwnershipDelta.between(base, next));
    return PeerFrames.encode(push).length + MicroBenchmark.FRAME_OVERHEAD_BYTES;
  }

  private static AdaptivePlacement placement(int endpoints) {
    AdaptivePlacement placement =
        new AdaptivePlacement(PlacementSettings.defaults(), PlacementWeights.STALLS);
    for (int i = 0; i < endpoints; i++) {
      List<Resident> residents = new ArrayList<>();
      residents.add(new Resident(new LoadHandle("h" + i), adapterOf(i), List.of()));
      placement.endpointJoined(
          0, new EndpointStatus(Fleet.endpoint(i), Fleet.MODEL, 8, 64, residents));
    }
    return placement;
  }

  private static AdapterVersion adapterOf(int endpoint) {
    return AdapterVersion.parse("adapter-" + endpoint + "@v1");
  }

  private static PlacementRequest request(RequestId id, int endpoint, long now) {
    return new PlacementRequest(
        id,
        adapterOf(endpoint),
        Fleet.MODEL,
        Urgency.INTERACTIVE,
        now + 30_000,
        200,
        Fleet.endpoint(endpoint));
  }

  /** Discards messages. */
  private static final class DiscardingChannel implements PeerChannel {
    @Override
    public boolean send(PeerMessage message) {
      return true;
    }

    @Override
    public boolean writable() {
      return true;
    }

    @Override
    public void close() {
      // Holds no resources.
    }
  }
}
