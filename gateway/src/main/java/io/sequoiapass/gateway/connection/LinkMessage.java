package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.process.EndpointUsage;
import io.sequoiapass.gateway.process.Load;
import io.sequoiapass.gateway.process.LoadTimeEstimates;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;

/**
 * What daemons and the coordinator of a data centre exchange.
 *
 * <p>Messages are immutable and safe for use by several threads.
 */
public sealed interface LinkMessage {

  /**
   * A daemon introduces itself to a coordinator.
   *
   * @param daemon its name
   * @param dataCentre where it runs
   */
  record Hello(DaemonId daemon, DataCentreId dataCentre) implements LinkMessage {}

  /**
   * What a daemon does at the coordinator's endpoints; endpoints that are not named get nothing.
   *
   * @param coordinator whether the daemon coordinates its data centre
   * @param usages one an endpoint
   */
  record UsageReport(boolean coordinator, List<EndpointUsage> usages) implements LinkMessage {
    /** Copies the list. */
    public UsageReport {
      usages = List.copyOf(usages);
    }
  }

  /**
   * A daemon has requests for an adapter.
   *
   * @param adapter the adapter
   * @param version the least version that will do
   * @param another whether a further copy is wanted although there is one
   * @param promptTokens tokens of the prompt of the request that waits
   * @param outputTokens tokens of its answer, as far as known
   * @param inTimeMs how long a load may be put off for an answer in time, in milliseconds
   * @param waitMs how long the request would wait for a place, in milliseconds; 0 if it would not
   * @param copyKnown whether the daemon knows of a copy, which it cannot use
   * @param excluded endpoints that the request cannot use, even if they hold the adapter
   */
  record LoadRequest(
      AdapterName adapter,
      long version,
      boolean another,
      long promptTokens,
      long outputTokens,
      long inTimeMs,
      long waitMs,
      boolean copyKnown,
      List<EndpointId> excluded)
      implements LinkMessage {}

  /**
   * An endpoint refused a request for an adapter that was reported to be there.
   *
   * @param endpoint the endpoint
   * @param adapter the adapter
   * @param early whether the adapter seems to be still on its way
   */
  record AdapterMiss(EndpointId endpoint, AdapterName adapter, boolean early)
      implements LinkMessage {}

  /**
   * A coordinator reports its status; comes often, so that a lost connection is noticed.
   *
   * @param epoch its epoch
   * @param revision its lease's revision in the platform's store
   * @param daemons daemons that are linked to it
   * @param stopping whether it gives its lease up
   * @param configuration what it knows of the operators' configuration
   * @param releases what it knows of new versions
   * @param endpoints what it knows of the list of endpoints
   * @param loads how long adapters take to its engines
   * @param slotsWanted whether requests wait for a place for their adapter
   */
  record CoordinatorStatus(
      long epoch,
      long revision,
      int daemons,
      boolean stopping,
      StoreView configuration,
      StoreView releases,
      StoreView endpoints,
      LoadTimeEstimates loads,
      boolean slotsWanted)
      implements LinkMessage {}

  /**
   * How well a coordinator knows one kind of objects of the platform's store.
   *
   * @param revision the store's revision at the last change that concerns others
   * @param ageMs how long ago the store last answered, in milliseconds; negative if it does not
   */
  record StoreView(long revision, long ageMs) {

    /** Nothing is known. */
    public static final StoreView NONE = new StoreView(0, -1);
  }

  /**
   * A coordinator reports how the list of endpoints has changed, so that not every daemon has to
   * watch the store.
   *
   * @param whole whether endpoints that are not named are not listed
   * @param revision the store's revision up to which this holds
   * @param entries entries that are new or say something else, each with its own revision
   * @param gone endpoints whose entries were removed
   */
  record Endpoints(
      boolean whole, long revision, List<ListedEndpoint> entries, List<GoneEndpoint> gone)
      implements LinkMessage {
    /** Copies the lists. */
    public Endpoints {
      entries = List.copyOf(entries);
      gone = List.copyOf(gone);
    }
  }

  /**
   * An entry of the list of endpoints.
   *
   * @param entry the entry
   * @param revision the store's revision at its last change
   */
  record ListedEndpoint(EndpointEntry entry, long revision) {}

  /**
   * An endpoint whose entry was removed.
   *
   * @param endpoint its name
   * @param revision the store's revision at the entry's last change
   * @param graceMs how long it may still be used, in milliseconds
   */
  record GoneEndpoint(EndpointId endpoint, long revision, long graceMs) {}

  /**
   * New versions of adapters, so that not every daemon has to read the store.
   *
   * @param releases the newest version of each adapter that is named
   */
  record Releases(List<Release> releases) implements LinkMessage {
    /** Copies the list. */
    public Releases {
      releases = List.copyOf(releases);
    }
  }

  /**
   * The newest version of an adapter.
   *
   * @param adapter the adapter
   * @param version its version
   */
  record Release(AdapterName adapter, long version) {}

  /**
   * A coordinator reports what its endpoints hold.
   *
   * @param whole whether endpoints and adapters that are not named are not there
   * @param placements one an endpoint and adapter
   */
  record Placements(boolean whole, List<Placement> placements) implements LinkMessage {
    /** Copies the list. */
    public Placements {
      placements = List.copyOf(placements);
    }
  }

  /**
   * One adapter at one endpoint.
   *
   * @param endpoint the endpoint
   * @param adapter the adapter
   * @param version its version
   * @param readyInMs when it is there, in milliseconds; negative if it has left
   */
  record Placement(EndpointId endpoint, AdapterName adapter, long version, long readyInMs) {}

  /**
   * What the other daemons ask of the coordinator's endpoints.
   *
   * @param loads one an endpoint
   */
  record Loads(List<EndpointLoad> loads) implements LinkMessage {
    /** Copies the list. */
    public Loads {
      loads = List.copyOf(loads);
    }
  }

  /**
   * The load of one endpoint.
   *
   * @param endpoint the endpoint
   * @param load its load
   */
  record EndpointLoad(EndpointId endpoint, Load load) {}

  /**
   * A coordinator cannot have an adapter loaded now.
   *
   * @param adapter the adapter
   * @param retryAfterMs when to ask again, in milliseconds
   */
  record LoadRejected(AdapterName adapter, long retryAfterMs) implements LinkMessage {}
}
