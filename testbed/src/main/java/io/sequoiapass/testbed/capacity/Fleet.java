package io.sequoiapass.testbed.capacity;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.ApiKey;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.VersionId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.process.FencePolicy;
import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationObject.AdapterRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.EndpointState;
import io.sequoiapass.coordination.version.EndpointType;
import io.sequoiapass.coordination.version.UsageLimit;
import io.sequoiapass.coordination.version.Workspace;
import io.sequoiapass.coordination.version.Workspaces;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** Creates adapters, endpoints and daemons with names of a realistic length. */
final class Fleet {

  static final int DAEMONS_OF_A_CENTRE = 17;
  static final DataCentreId DATA_CENTRE = new DataCentreId("region-3-centre-2");
  static final ModelId MODEL = new ModelId("note-model-8b");
  private static final int SLOTS = 8;
  private static final int MAX_STREAMS = 64;

  private Fleet() {}

  static List<ConfigurationObject> adapters(int count) {
    List<ConfigurationObject> adapters = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      VersionId current = new VersionId("v" + i % 9);
      adapters.add(
          new AdapterRecord(
              new AdapterId("customer-" + i + "-contamination-notes"),
              i + 1,
              MODEL,
              current,
              Set.of(current, new VersionId("previous"))));
    }
    return adapters;
  }

  static List<ConfigurationObject> endpoints(int count) {
    List<ConfigurationObject> endpoints = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      endpoints.add(
          new EndpointRecord(
              endpoint(i),
              i + 1,
              "10.1." + i / 250 + "." + i % 250 + ":8000",
              DATA_CENTRE,
              new HostId("engine-host-" + i),
              EndpointType.ENGINE,
              Optional.of(MODEL),
              Optional.empty(),
              OptionalInt.of(SLOTS),
              MAX_STREAMS,
              FencePolicy.CHECKS,
              EndpointState.ACTIVE));
    }
    return endpoints;
  }

  static EndpointId endpoint(int number) {
    return new EndpointId("region-3-centre-2-engine-" + number);
  }

  static List<DaemonId> daemons(int count) {
    List<DaemonId> daemons = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      daemons.add(new DaemonId("region-3-centre-2-entry-" + i));
    }
    return daemons;
  }

  /** Returns workspaces with two keys each and a limit that is never reached. */
  static Workspaces workspaces(int count) {
    UsageLimit limit = new UsageLimit(UsageLimit.Unit.TOKENS, 1e12, 1e12, 1);
    List<Workspace> workspaces = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Set<ApiKey> keys = Set.of(ApiKey.of(secret(i)), ApiKey.of("old-" + secret(i)));
      workspaces.add(
          new Workspace(new WorkspaceId("workspace-" + i), keys, OptionalInt.empty(), limit));
    }
    return new Workspaces(workspaces);
  }

  /** Returns the secret of a workspace's first key. */
  static String secret(int workspace) {
    return "secret-of-workspace-" + workspace;
  }
}
