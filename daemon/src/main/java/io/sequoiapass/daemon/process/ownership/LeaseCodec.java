package io.sequoiapass.daemon.process.ownership;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.LeaseRecord;
import io.sequoiapass.coordination.process.LeaseState;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.process.StoredLease;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Converts leases and ownership tables to and from the platform's JSON. */
final class LeaseCodec {

  private static final Gson GSON = new Gson();

  private LeaseCodec() {}

  static JsonObject json(LeaseRecord lease) {
    LeaseValue value =
        new LeaseValue(
            lease.daemon().value(),
            lease.address(),
            lease.incarnation(),
            lease.renewals(),
            lease.durationMillis(),
            lease.state().name());
    return GSON.toJsonTree(value).getAsJsonObject();
  }

  static String text(JsonObject value) {
    return GSON.toJson(value);
  }

  static JsonObject parse(String text) {
    return GSON.fromJson(text, JsonObject.class);
  }

  /** Returns the lease in an object; empty if there is none or it cannot be parsed. */
  static Optional<StoredLease> lease(long version, JsonObject value) {
    if (version == 0 || value == null) {
      return Optional.empty();
    }
    try {
      LeaseValue read = GSON.fromJson(value, LeaseValue.class);
      return Optional.of(
          new StoredLease(
              version,
              new LeaseRecord(
                  new DaemonId(read.daemon()),
                  read.address(),
                  read.incarnation(),
                  read.renewals(),
                  read.durationMs(),
                  LeaseState.valueOf(read.state()))));
    } catch (JsonParseException | IllegalArgumentException | NullPointerException unreadable) {
      return Optional.empty();
    }
  }

  static JsonObject json(OwnershipTable table) {
    Map<String, String> owners = new TreeMap<>();
    table.owners().forEach((endpoint, daemon) -> owners.put(endpoint.value(), daemon.value()));
    Map<String, Long> incarnations = new TreeMap<>();
    table.incarnations().forEach((daemon, number) -> incarnations.put(daemon.value(), number));
    return GSON.toJsonTree(new TableValue(table.epoch(), owners, incarnations)).getAsJsonObject();
  }

  /** Returns the table in an object; an empty table if there is none or it cannot be parsed. */
  static OwnershipTable table(Optional<StoredObject> stored) {
    if (stored.isEmpty()) {
      return OwnershipTable.EMPTY;
    }
    try {
      TableValue read = GSON.fromJson(stored.get().value(), TableValue.class);
      Map<EndpointId, DaemonId> owners = new TreeMap<>();
      read.owners()
          .forEach(
              (endpoint, daemon) -> owners.put(new EndpointId(endpoint), new DaemonId(daemon)));
      Map<DaemonId, Long> incarnations = new TreeMap<>();
      read.incarnations()
          .forEach((daemon, number) -> incarnations.put(new DaemonId(daemon), number));
      return OwnershipTable.of(stored.get().version(), read.epoch(), owners, incarnations);
    } catch (JsonParseException | IllegalArgumentException | NullPointerException unreadable) {
      return OwnershipTable.of(stored.get().version(), 0, Map.of(), Map.of());
    }
  }

  private record LeaseValue(
      String daemon,
      String address,
      long incarnation,
      long renewals,
      @SerializedName("duration_ms") long durationMs,
      String state) {}

  private record TableValue(
      long epoch, Map<String, String> owners, Map<String, Long> incarnations) {}
}
