package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.version.ConfigurationObject.AdapterRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.ServiceRecord;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Immutable view of the configuration after one change; a request uses the same snapshot from start
 * to end.
 *
 * <pre>{@code
 * ConfigurationSnapshot snapshot = store.snapshot();
 * Optional<AdapterRecord> adapter = snapshot.adapter(id);
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class ConfigurationSnapshot {

  private final VersionedMap objects;
  private final long revision;
  private final List<EndpointRecord> endpoints;

  ConfigurationSnapshot(VersionedMap objects, long revision, List<EndpointRecord> endpoints) {
    this.objects = Objects.requireNonNull(objects, "objects");
    this.revision = revision;
    this.endpoints = List.copyOf(endpoints);
  }

  /** Returns the highest version of any object in the snapshot, including deleted ones. */
  public long revision() {
    return revision;
  }

  /** Returns an adapter, if there is one of that name. */
  public Optional<AdapterRecord> adapter(AdapterId id) {
    return find(ObjectKind.ADAPTER, id.value(), AdapterRecord.class);
  }

  /** Returns a service, if there is one of that name. */
  public Optional<ServiceRecord> service(ServiceId id) {
    return find(ObjectKind.SERVICE, id.value(), ServiceRecord.class);
  }

  /** Returns an endpoint, if there is one of that name. */
  public Optional<EndpointRecord> endpoint(EndpointId id) {
    return find(ObjectKind.ENDPOINT, id.value(), EndpointRecord.class);
  }

  /** Returns the newest preset object, which may not be in force; see {@link PresetSchedule}. */
  public Optional<PresetRecord> preset() {
    return find(ObjectKind.PRESET, PresetRecord.NAME, PresetRecord.class);
  }

  /** Returns every endpoint, sorted by name. */
  public List<EndpointRecord> endpoints() {
    return endpoints;
  }

  /** Returns the endpoints of a data centre, sorted by name. */
  public List<EndpointRecord> endpoints(DataCentreId dataCentre) {
    return endpoints.stream().filter(one -> one.dataCentre().equals(dataCentre)).toList();
  }

  /** Returns a copy of this snapshot with some endpoints replaced. */
  ConfigurationSnapshot withEndpoints(List<EndpointRecord> changed, List<EndpointRecord> all) {
    return new ConfigurationSnapshot(objects.with(changed), revision, all);
  }

  /** Returns every adapter, sorted by name; takes time linear in the number of objects. */
  public List<AdapterRecord> adapters() {
    return objects.all().stream()
        .filter(AdapterRecord.class::isInstance)
        .map(AdapterRecord.class::cast)
        .sorted(Comparator.comparing(AdapterRecord::id))
        .toList();
  }

  private <T extends ConfigurationObject> Optional<T> find(
      ObjectKind kind, String name, Class<T> type) {
    return objects.find(new ObjectKey(kind, name)).filter(type::isInstance).map(type::cast);
  }
}
