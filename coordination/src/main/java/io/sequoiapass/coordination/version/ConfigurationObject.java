package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.VersionId;
import io.sequoiapass.coordination.process.FencePolicy;
import io.sequoiapass.coordination.request.Priority;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * One configuration object at one version of the platform's counter.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface ConfigurationObject {

  /** Returns the object's key. */
  ObjectKey key();

  /** Returns the value of the platform's counter at the object's last change. */
  long version();

  /**
   * An adapter.
   *
   * @param id its name
   * @param version the object's version
   * @param model the base model that it adapts
   * @param current the version in force
   * @param versions the versions that requests may name
   */
  record AdapterRecord(
      AdapterId id, long version, ModelId model, VersionId current, Set<VersionId> versions)
      implements ConfigurationObject {

    /** Copies the versions and checks that the one in force is among them. */
    public AdapterRecord {
      checkVersion(version);
      Objects.requireNonNull(model, "model");
      versions = Set.copyOf(versions);
      if (!versions.contains(current)) {
        throw new IllegalArgumentException(
            "adapter " + id + ": version in force " + current + " is not among " + versions);
      }
    }

    @Override
    public ObjectKey key() {
      return new ObjectKey(ObjectKind.ADAPTER, id.value());
    }
  }

  /**
   * A service.
   *
   * @param id its name
   * @param version the object's version
   * @param model the base model of its requests, if it is bound to one
   * @param allAdapters whether it may use every adapter
   * @param adapters the adapters it may use otherwise
   * @param endpoints the endpoints that run it, for a plain service
   * @param repeatable whether its requests may run more than once
   * @param priority how urgent its requests are by default
   * @param maxInFlight the bound on its requests in flight
   */
  record ServiceRecord(
      ServiceId id,
      long version,
      Optional<ModelId> model,
      boolean allAdapters,
      Set<AdapterId> adapters,
      Set<EndpointId> endpoints,
      boolean repeatable,
      Priority priority,
      int maxInFlight)
      implements ConfigurationObject {

    /** Copies the sets and checks the bound. */
    public ServiceRecord {
      checkVersion(version);
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(model, "model");
      Objects.requireNonNull(priority, "priority");
      adapters = Set.copyOf(adapters);
      endpoints = Set.copyOf(endpoints);
      if (maxInFlight < 1) {
        throw new IllegalArgumentException(
            "service " + id + ": max_in_flight must be >= 1: " + maxInFlight);
      }
    }

    /** Returns whether the service may use an adapter. */
    public boolean mayUse(AdapterId adapter) {
      return allAdapters || adapters.contains(adapter);
    }

    @Override
    public ObjectKey key() {
      return new ObjectKey(ObjectKind.SERVICE, id.value());
    }
  }

  /**
   * An endpoint.
   *
   * @param id its name
   * @param version the object's version
   * @param address IP number and port
   * @param dataCentre its data centre
   * @param host its host
   * @param type the type of process that runs there
   * @param model the base model, for an engine
   * @param service the service, for a plain service
   * @param slots the number of adapter slots of an engine; empty for a plain service
   * @param maxStreams the maximum number of concurrent requests
   * @param fencePolicy whether it rejects outdated fencing numbers
   * @param state whether it accepts new work
   */
  record EndpointRecord(
      EndpointId id,
      long version,
      String address,
      DataCentreId dataCentre,
      HostId host,
      EndpointType type,
      Optional<ModelId> model,
      Optional<ServiceId> service,
      OptionalInt slots,
      int maxStreams,
      FencePolicy fencePolicy,
      EndpointState state)
      implements ConfigurationObject {

    /** Checks that the components required by the type are present. */
    public EndpointRecord {
      checkVersion(version);
      Objects.requireNonNull(address, "address");
      Objects.requireNonNull(dataCentre, "dataCentre");
      Objects.requireNonNull(host, "host");
      Objects.requireNonNull(fencePolicy, "fencePolicy");
      Objects.requireNonNull(state, "state");
      if (maxStreams < 1) {
        throw new IllegalArgumentException(
            "endpoint " + id + ": max_streams must be >= 1: " + maxStreams);
      }
      if (type == EndpointType.ENGINE && (model.isEmpty() || slots.orElse(0) < 1)) {
        throw new IllegalArgumentException(
            "endpoint " + id + ": an engine needs a model and slots: " + model + ", " + slots);
      }
      if (type == EndpointType.SERVICE && service.isEmpty()) {
        throw new IllegalArgumentException("endpoint " + id + ": a service's name is missing");
      }
    }

    /** Returns whether the endpoint accepts new work. */
    public boolean takesNewWork() {
      return state == EndpointState.ACTIVE;
    }

    /** Returns a copy of this endpoint that accepts no new work. */
    EndpointRecord leaving() {
      return new EndpointRecord(
          id,
          version,
          address,
          dataCentre,
          host,
          type,
          model,
          service,
          slots,
          maxStreams,
          fencePolicy,
          EndpointState.LEAVING);
    }

    @Override
    public ObjectKey key() {
      return new ObjectKey(ObjectKind.ENDPOINT, id.value());
    }
  }

  /**
   * The preset.
   *
   * @param version the object's version
   * @param preset the preset
   * @param effectiveAtWallMillis when it comes into force, in milliseconds of the wall clock
   */
  record PresetRecord(long version, Preset preset, long effectiveAtWallMillis)
      implements ConfigurationObject {

    /** The name of the one preset object. */
    public static final String NAME = "current";

    /** Rejects invalid components. */
    public PresetRecord {
      checkVersion(version);
      Objects.requireNonNull(preset, "preset");
    }

    @Override
    public ObjectKey key() {
      return new ObjectKey(ObjectKind.PRESET, NAME);
    }
  }

  /**
   * Marker of a deleted object, which prevents an older copy of it from being applied.
   *
   * @param key the object's key
   * @param version the value of the platform's counter at the deletion
   */
  record Tombstone(ObjectKey key, long version) implements ConfigurationObject {

    /** Rejects invalid components. */
    public Tombstone {
      checkVersion(version);
      Objects.requireNonNull(key, "key");
    }
  }

  private static void checkVersion(long version) {
    if (version < 1) {
      throw new IllegalArgumentException("object version must be >= 1: " + version);
    }
  }
}
