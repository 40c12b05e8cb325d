package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.connection.EndpointPermits;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.WorkspaceShare;
import io.sequoiapass.coordination.process.WorkspaceUsage;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.process.EndpointUsage;
import io.sequoiapass.gateway.process.Load;
import io.sequoiapass.gateway.process.LoadTimeEstimates;
import io.sequoiapass.gateway.process.PartKey;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterName;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * A message between a daemon and the coordinator of a data centre.
 *
 * <p>Messages are immutable and safe for use by several threads.
 */
public sealed interface LinkMessage {

  /**
   * A daemon introduces itself to a coordinator.
   *
   * @param daemon its name
   * @param dataCentre where it runs
   * @param endpointsRevision the store's revision up to which it knows the endpoint list; negative
   *     if it does not
   * @param peers where it accepts requests of other daemons
   */
  record Hello(
      DaemonId daemon, DataCentreId dataCentre, long endpointsRevision, InetSocketAddress peers)
      implements LinkMessage {}

  /**
   * A coordinator names the daemons through which a daemon without a path to the endpoints can
   * serve its callers.
   *
   * @param peers the daemons, in random order
   */
  record Peers(List<Peer> peers) implements LinkMessage {
    /** Copies the list. */
    public Peers {
      peers = List.copyOf(peers);
    }
  }

  /**
   * A daemon that serves others.
   *
   * @param daemon its name
   * @param address where it accepts requests of other daemons
   */
  record Peer(DaemonId daemon, InetSocketAddress address) {}

  /**
   * A coordinator names the daemons that are linked to it, the receiver among them.
   *
   * @param snapshot whether these are all daemons rather than changes
   * @param joined daemons that are new or have another address
   * @param left daemons that are not linked any more
   */
  record Members(boolean snapshot, List<Member> joined, List<DaemonId> left)
      implements LinkMessage {
    /** Copies the lists. */
    public Members {
      joined = List.copyOf(joined);
      left = List.copyOf(left);
    }
  }

  /**
   * A daemon that is linked to a coordinator.
   *
   * @param daemon its name
   * @param dataCentre where it runs
   * @param address where it accepts requests of other daemons
   */
  record Member(DaemonId daemon, DataCentreId dataCentre, InetSocketAddress address) {}

  /**
   * A daemon reports that an endpoint's process ended, and which requests were just beginning.
   *
   * @param process the endpoint's process
   * @param suspects the requests, one of which may have caused it
   */
  record CrashReport(EndpointId process, List<CrashSuspect> suspects) implements LinkMessage {
    /** Copies the list. */
    public CrashReport {
      suspects = List.copyOf(suspects);
    }
  }

  /**
   * A request that may have ended an endpoint's process.
   *
   * @param request stands for the request; the same for each attempt of it
   * @param parts the parts of its prompt on which the daemon has received no answer lately
   */
  record CrashSuspect(long request, List<PartKey> parts) {
    /** Copies the list. */
    public CrashSuspect {
      parts = List.copyOf(parts);
    }
  }

  /**
   * A daemon reports that it has received answers written on parts of prompts.
   *
   * @param parts the parts
   */
  record PartsCleared(List<PartKey> parts) implements LinkMessage {
    /** Copies the list. */
    public PartsCleared {
      parts = List.copyOf(parts);
    }
  }

  /**
   * Which parts of prompts crash endpoints: from a coordinator, or from a daemon what it knew
   * before.
   *
   * @param snapshot whether these are all parts rather than changes
   * @param suspected parts on which a daemon may have received answers
   * @param convicted parts that crash endpoints
   * @param ended parts that are neither any more
   */
  record PartVerdicts(
      boolean snapshot, List<PartKey> suspected, List<PartKey> convicted, List<PartKey> ended)
      implements LinkMessage {
    /** Copies the lists. */
    public PartVerdicts {
      suspected = List.copyOf(suspected);
      convicted = List.copyOf(convicted);
      ended = List.copyOf(ended);
    }
  }

  /**
   * A daemon reports its load on the coordinator's endpoints; an endpoint that is not listed has
   * none.
   *
   * @param coordinator whether the daemon coordinates its data centre
   * @param servesPeers whether it has a path to the endpoints and does not stop, so that it can
   *     serve requests of other daemons
   * @param sentAt the daemon's clocks when it sent the report; the coordinator returns them
   * @param usages one for each endpoint
   * @param workspaces what workspaces asked of the daemon since its last report on this link
   */
  record UsageReport(
      boolean coordinator,
      boolean servesPeers,
      ClockReading sentAt,
      List<EndpointUsage> usages,
      List<WorkspaceUsage> workspaces)
      implements LinkMessage {
    /** Copies the lists. */
    public UsageReport {
      usages = List.copyOf(usages);
      workspaces = List.copyOf(workspaces);
    }
  }

  /**
   * A daemon requests a load of an adapter.
   *
   * @param adapter the adapter
   * @param version the lowest acceptable version
   * @param flow the priority and workspace of the waiting request
   * @param another whether a further copy is requested although one exists
   * @param promptTokens length of the waiting request's prompt, in tokens
   * @param outputTokens expected length of its answer, in tokens
   * @param maxDelayMs the longest delay of the load that still meets the target latency, in
   *     milliseconds
   * @param waitMs how long the request may be queued for a slot, in milliseconds; 0 if it may not
   * @param deadlineMs how long a queued load could still serve the request, in milliseconds
   * @param returnKey a key that is equal for the retries of a request; 0 if unknown
   * @param number rises with each load request of a daemon that may be queued; 0 if it may not
   * @param copyKnown whether the daemon has a record of a copy that the request cannot use
   * @param excluded endpoints that the request cannot use, even if they hold the adapter
   */
  record LoadRequest(
      AdapterName adapter,
      long version,
      Flow flow,
      boolean another,
      long promptTokens,
      long outputTokens,
      long maxDelayMs,
      long waitMs,
      long deadlineMs,
      long returnKey,
      long number,
      boolean copyKnown,
      List<EndpointId> excluded)
      implements LinkMessage {}

  /**
   * An endpoint rejected a request because it does not hold an adapter that was reported there.
   *
   * @param endpoint the endpoint
   * @param adapter the adapter
   * @param early whether the adapter is probably still loading
   */
  record AdapterMiss(EndpointId endpoint, AdapterName adapter, boolean early)
      implements LinkMessage {}

  /**
   * A coordinator reports its status; sent often, so that a lost connection is detected.
   *
   * @param epoch its epoch, the fencing number of its orders
   * @param revision its lease's revision in the platform's store
   * @param daemons number of daemons connected to it
   * @param stopping whether it releases its lease
   * @param configuration how current its view of the operators' configuration is
   * @param releases how current its view of the releases is
   * @param endpoints how current its view of the endpoint list is
   * @param loads estimates of how long its engines take to load an adapter
   * @param slotsWanted whether requests wait for an adapter slot
   * @param workspaces workspaces of which daemons must refuse requests; all others may have all
   *     that they ask
   * @param usageCounted whether it has counted the usage of a whole window
   * @param coordinators the coordinators of other data centres that are connected to its daemon
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
      boolean slotsWanted,
      List<WorkspaceShare> workspaces,
      boolean usageCounted,
      List<CoordinatorAddress> coordinators)
      implements LinkMessage {
    /** Copies the lists. */
    public CoordinatorStatus {
      workspaces = List.copyOf(workspaces);
      coordinators = List.copyOf(coordinators);
    }
  }

  /**
   * Where a coordinator accepts links.
   *
   * @param dataCentre its data centre
   * @param address its address
   */
  record CoordinatorAddress(DataCentreId dataCentre, InetSocketAddress address) {}

  /**
   * How current a coordinator's view of one kind of objects in the platform's store is.
   *
   * @param revision the store's revision at the last change that other daemons need
   * @param ageMs how long ago the store last answered, in milliseconds; negative if it is
   *     unreachable
   */
  record StoreView(long revision, long ageMs) {

    /** The store has not been read. */
    public static final StoreView NONE = new StoreView(0, -1);
  }

  /**
   * A coordinator sends the endpoint list or its changes, so that not every daemon has to watch the
   * store.
   *
   * @param snapshot whether this is a complete snapshot rather than changes
   * @param revision the store's revision up to which changes are included
   * @param entries entries that are new or changed, each with its own revision
   * @param gone endpoints whose entries were removed
   */
  record Endpoints(
      boolean snapshot, long revision, List<ListedEndpoint> entries, List<GoneEndpoint> gone)
      implements LinkMessage {
    /** Copies the lists. */
    public Endpoints {
      entries = List.copyOf(entries);
      gone = List.copyOf(gone);
    }
  }

  /**
   * An entry of the endpoint list with its revision.
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
   * A coordinator sends new versions of adapters, so that not every daemon has to read the store.
   *
   * @param releases the newest version of each adapter in the message
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
   * A coordinator reports which adapters its endpoints hold.
   *
   * @param snapshot whether this is a complete snapshot rather than changes
   * @param placements one for each endpoint and adapter
   */
  record Placements(boolean snapshot, List<Placement> placements) implements LinkMessage {
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
   * @param readyInMs time until it is loaded, in milliseconds; negative if it was removed
   */
  record Placement(EndpointId endpoint, AdapterName adapter, long version, long readyInMs) {}

  /**
   * A coordinator reports the load that all daemons put on its endpoints, and how recently it read
   * the configuration.
   *
   * @param asked the receiver's clocks in the last report that arrived before the coordinator asked
   *     the store for the configuration; empty if there is none
   * @param configurationRevision the configuration's revision in the store's answer
   * @param included the receiver's clocks in the report that the loads contain; empty if none
   * @param loads one for each endpoint of the coordinator that has any load; most have none in a
   *     large fleet
   */
  record Loads(
      Optional<ClockReading> asked,
      long configurationRevision,
      Optional<ClockReading> included,
      List<EndpointLoad> loads)
      implements LinkMessage {
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
   * A coordinator has no free slot to load an adapter.
   *
   * @param adapter the adapter
   * @param retryAfterMs when to request the load again, in milliseconds
   */
  record LoadRejected(AdapterName adapter, long retryAfterMs) implements LinkMessage {}

  /**
   * A daemon asks for a permit to send one request to an endpoint that accepts only so many.
   *
   * @param endpoint the endpoint
   * @param requestsPerS the limit that it has named, in requests a second
   * @param mostAtOnce the largest number of permits that are granted at once
   * @param usefulMs how long the daemon's request can wait, in milliseconds
   */
  record PermitRequest(EndpointId endpoint, double requestsPerS, int mostAtOnce, long usefulMs)
      implements LinkMessage {}

  /**
   * A coordinator replies to an ask for a permit.
   *
   * @param endpoint the endpoint
   * @param type the reply
   * @param waitMs the expected time until the next permit of this daemon, in milliseconds
   */
  record PermitReply(EndpointId endpoint, Type type, long waitMs) implements LinkMessage {

    /** The reply. */
    public enum Type {
      /** One request may be sent. */
      GRANTED {
        @Override
        public void apply(EndpointPermits permits, long waitMs, long now) {
          permits.granted(waitMs, now);
        }
      },
      /** The permit follows as soon as the limit allows it. */
      QUEUED {
        @Override
        public void apply(EndpointPermits permits, long waitMs, long now) {
          permits.queued(waitMs, now);
        }
      },
      /** The coordinator cannot prove that no other one grants permits. */
      REFUSED {
        @Override
        public void apply(EndpointPermits permits, long waitMs, long now) {
          permits.refused(now);
        }
      };

      /**
       * Updates the permits for the endpoint.
       *
       * @param permits the permits
       * @param waitMs the expected time until the next one, in milliseconds
       * @param now the time, in milliseconds
       */
      public abstract void apply(EndpointPermits permits, long waitMs, long now);
    }
  }

  /** A message about scarce room, defined in {@link RoomMessage}. */
  non-sealed interface Extension extends LinkMessage {}
}
