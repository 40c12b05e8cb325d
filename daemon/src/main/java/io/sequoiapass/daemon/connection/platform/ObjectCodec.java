package io.sequoiapass.daemon.connection.platform;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.VersionId;
import io.sequoiapass.coordination.process.FencePolicy;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationObject.AdapterRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.ServiceRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.Tombstone;
import io.sequoiapass.coordination.version.EndpointState;
import io.sequoiapass.coordination.version.EndpointType;
import io.sequoiapass.coordination.version.ObjectKey;
import io.sequoiapass.coordination.version.ObjectKind;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.connection.SocketAddresses;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Converts configuration objects from and to the platform's JSON. Safe for use by several threads.
 *
 * <pre>{@code
 * ConfigurationObject object = ObjectCodec.read(stored);
 * }</pre>
 */
public final class ObjectCodec {

  private static final String ANY_ADAPTER = "*";
  private static final int DEFAULT_MAX_IN_FLIGHT = 1_000;
  private static final int DEFAULT_MAX_STREAMS = 16;
  private static final Gson GSON = new Gson();

  private ObjectCodec() {}

  /**
   * Converts an object from the platform's form.
   *
   * @param stored the object in the platform's form
   * @throws ObjectFormatException if it is not a valid object of its kind
   */
  public static ConfigurationObject read(StoredObject stored) throws ObjectFormatException {
    try {
      ObjectKind kind = ObjectKind.valueOf(stored.kind().toUpperCase(Locale.ROOT));
      if (stored.value() == null) {
        return new Tombstone(new ObjectKey(kind, stored.name()), stored.version());
      }
      return read(kind, stored);
    } catch (JsonParseException
        | IllegalArgumentException
        | IllegalStateException
        | NullPointerException e) {
      throw new ObjectFormatException(
          stored.kind() + " " + stored.name() + ": " + e.getMessage(), e);
    }
  }

  private static ConfigurationObject read(ObjectKind kind, StoredObject stored) {
    return switch (kind) {
      case ADAPTER -> adapter(stored);
      case SERVICE -> service(stored);
      case ENDPOINT -> endpoint(stored);
      case PRESET -> preset(stored);
    };
  }

  private static AdapterRecord adapter(StoredObject stored) {
    AdapterValue value = GSON.fromJson(stored.value(), AdapterValue.class);
    Set<VersionId> versions =
        value.versions().stream().map(VersionId::new).collect(Collectors.toSet());
    return new AdapterRecord(
        new AdapterId(stored.name()),
        stored.version(),
        new ModelId(value.model()),
        new VersionId(value.current()),
        versions);
  }

  private static ServiceRecord service(StoredObject stored) {
    ServiceValue value = GSON.fromJson(stored.value(), ServiceValue.class);
    List<String> adapters = orEmpty(value.adapters());
    return new ServiceRecord(
        new ServiceId(stored.name()),
        stored.version(),
        Optional.ofNullable(value.model()).map(ModelId::new),
        adapters.contains(ANY_ADAPTER),
        adapters.stream()
            .filter(name -> !name.equals(ANY_ADAPTER))
            .map(AdapterId::new)
            .collect(Collectors.toSet()),
        orEmpty(value.endpoints()).stream().map(EndpointId::new).collect(Collectors.toSet()),
        value.repeatable() == null || value.repeatable(),
        value.priority() == null ? Priority.INTERACTIVE : Priority.valueOf(value.priority()),
        value.maxInFlight() == null ? DEFAULT_MAX_IN_FLIGHT : value.maxInFlight());
  }

  private static EndpointRecord endpoint(StoredObject stored) {
    EndpointValue value = GSON.fromJson(stored.value(), EndpointValue.class);
    return new EndpointRecord(
        new EndpointId(stored.name()),
        stored.version(),
        checkedAddress(value.address()),
        new DataCentreId(value.dataCentre()),
        new HostId(value.host()),
        EndpointType.valueOf(value.type()),
        Optional.ofNullable(value.model()).map(ModelId::new),
        Optional.ofNullable(value.service()).map(ServiceId::new),
        value.slots() == null ? OptionalInt.empty() : OptionalInt.of(value.slots()),
        value.maxStreams() == null ? DEFAULT_MAX_STREAMS : value.maxStreams(),
        Boolean.TRUE.equals(value.checksFence()) ? FencePolicy.CHECKS : FencePolicy.IGNORES,
        value.state() == null ? EndpointState.ACTIVE : EndpointState.valueOf(value.state()));
  }

  private static String checkedAddress(String address) {
    SocketAddresses.parse(Objects.requireNonNull(address, "address"));
    return address;
  }

  private static PresetRecord preset(StoredObject stored) {
    PresetValue value = GSON.fromJson(stored.value(), PresetValue.class);
    return new PresetRecord(stored.version(), Preset.valueOf(value.preset()), value.effectiveAt());
  }

  private static <T> List<T> orEmpty(List<T> list) {
    return list == null ? List.of() : list;
  }

  /**
   * Returns an object as JSON text in the platform's form, as it is pushed to peers.
   *
   * @param object the object
   */
  public static String text(ConfigurationObject object) {
    ObjectKey key = object.key();
    return GSON.toJson(
        new StoredObject(key.kind().pathName(), key.name(), object.version(), null, value(object)));
  }

  private static JsonObject value(ConfigurationObject object) {
    if (object instanceof AdapterRecord adapter) {
      return json(
          new AdapterValue(
              adapter.model().value(),
              adapter.current().value(),
              adapter.versions().stream().map(VersionId::value).sorted().toList()));
    }
    if (object instanceof ServiceRecord service) {
      return json(valueOf(service));
    }
    if (object instanceof EndpointRecord endpoint) {
      return json(valueOf(endpoint));
    }
    if (object instanceof PresetRecord preset) {
      return json(new PresetValue(preset.preset().name(), preset.effectiveAtWallMillis()));
    }
    return null;
  }

  private static ServiceValue valueOf(ServiceRecord service) {
    List<String> adapters = new ArrayList<>();
    if (service.allAdapters()) {
      adapters.add(ANY_ADAPTER);
    }
    service.adapters().forEach(adapter -> adapters.add(adapter.value()));
    return new ServiceValue(
        service.model().map(ModelId::value).orElse(null),
        adapters,
        service.endpoints().stream().map(EndpointId::value).toList(),
        service.repeatable(),
        service.priority().name(),
        service.maxInFlight());
  }

  private static EndpointValue valueOf(EndpointRecord endpoint) {
    return new EndpointValue(
        endpoint.address(),
        endpoint.dataCentre().value(),
        endpoint.host().value(),
        endpoint.type().name(),
        endpoint.model().map(ModelId::value).orElse(null),
        endpoint.service().map(ServiceId::value).orElse(null),
        endpoint.slots().isPresent() ? endpoint.slots().getAsInt() : null,
        endpoint.maxStreams(),
        endpoint.fencePolicy() == FencePolicy.CHECKS,
        endpoint.state().name());
  }

  /**
   * Parses an object that a peer has pushed.
   *
   * @param text the JSON text, as {@link #text} writes it
   * @throws ObjectFormatException if it is not a valid object
   */
  public static ConfigurationObject parse(String text) throws ObjectFormatException {
    try {
      StoredObject stored = GSON.fromJson(text, StoredObject.class);
      return read(Objects.requireNonNull(stored, "empty"));
    } catch (JsonParseException | NullPointerException e) {
      throw new ObjectFormatException("not an object: " + e.getMessage(), e);
    }
  }

  private static JsonObject json(Object value) {
    return GSON.toJsonTree(value).getAsJsonObject();
  }

  private record AdapterValue(String model, String current, List<String> versions) {}

  private record ServiceValue(
      String model,
      List<String> adapters,
      List<String> endpoints,
      Boolean repeatable,
      String priority,
      @SerializedName("max_in_flight") Integer maxInFlight) {}

  private record EndpointValue(
      String address,
      @SerializedName("data_centre") String dataCentre,
      String host,
      String type,
      String model,
      String service,
      Integer slots,
      @SerializedName("max_streams") Integer maxStreams,
      @SerializedName("checks_fence") Boolean checksFence,
      String state) {}

  private record PresetValue(String preset, @SerializedName("effective_at") long effectiveAt) {}
}
