package io.sequoiapass.gateway.spi;

import io.sequoiapass.gateway.version.AdapterRelease;
import io.sequoiapass.gateway.version.ServingConfiguration;

/**
 * A kind of objects in the platform's store, with the type of their values.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param name the name in logs
 * @param type the type of the values
 * @param <T> the type of the values
 */
public record StoreKind<T>(String name, Class<T> type) {

  /** The operators' configuration; a single object. */
  public static final StoreKind<ServingConfiguration> CONFIGURATION =
      new StoreKind<>("configuration", ServingConfiguration.class);

  /** The endpoints, as they report themselves. */
  public static final StoreKind<EndpointEntry> ENDPOINTS =
      new StoreKind<>("endpoints", EndpointEntry.class);

  /** The newest versions of adapters and base models. */
  public static final StoreKind<AdapterRelease> RELEASES =
      new StoreKind<>("releases", AdapterRelease.class);

  /** The leases of coordinators: one object for each data centre, written by this system. */
  public static final StoreKind<CoordinatorLease> LEASES =
      new StoreKind<>("leases", CoordinatorLease.class);

  /** The software versions that have served lately: one object, written by this system. */
  public static final StoreKind<SoftwareRecord> SOFTWARE =
      new StoreKind<>("software", SoftwareRecord.class);

  /** What crashes endpoints: one object, written by this system. */
  public static final StoreKind<VerdictRecord> VERDICTS =
      new StoreKind<>("verdicts", VerdictRecord.class);
}
