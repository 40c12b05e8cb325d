package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.process.Activity;
import io.sequoiapass.gateway.process.Load;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;

/**
 * What daemons and the coordinator of a data centre tell each other.
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
   * @param activities one an endpoint
   */
  record Doing(List<Activity> activities) implements LinkMessage {
    /** Copies the list. */
    public Doing {
      activities = List.copyOf(activities);
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
   */
  record Need(
      AdapterName adapter, long version, boolean another, long promptTokens, long outputTokens)
      implements LinkMessage {}

  /**
   * An endpoint refused a request for an adapter that was told to be there.
   *
   * @param endpoint the endpoint
   * @param adapter the adapter
   * @param early whether the adapter seems to be still on its way
   */
  record Missed(EndpointId endpoint, AdapterName adapter, boolean early) implements LinkMessage {}

  /**
   * A coordinator tells of itself; comes often, so that its silence shows.
   *
   * @param epoch its epoch
   * @param revision its lease's revision in the platform's store
   * @param daemons daemons that are linked to it
   * @param stopping whether it gives its lease up
   */
  record Standing(long epoch, long revision, int daemons, boolean stopping)
      implements LinkMessage {}

  /**
   * A coordinator tells what its endpoints hold.
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
   * @param comeBackMs when to ask again, in milliseconds
   */
  record NoRoom(AdapterName adapter, long comeBackMs) implements LinkMessage {}
}
