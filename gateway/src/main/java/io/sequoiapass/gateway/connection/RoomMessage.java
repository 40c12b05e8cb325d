package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.process.RetryClaim;
import io.sequoiapass.coordination.process.RetryGrant;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A message between a daemon and a coordinator about room that is scarce or uneven: demand and
 * shortages, speeds of endpoints, turns of long prompts, loads that nobody waits for, shares of
 * demand that go elsewhere, and slack of retry budgets.
 *
 * <p>Messages are immutable and safe for use by several threads.
 */
public sealed interface RoomMessage extends LinkMessage.Extension {

  /**
   * A daemon reports how much its callers asked for since its last report on this link.
   *
   * @param flows one for each service and flow with any request
   * @param inFlight the requests that have not ended, by service
   */
  record DemandReport(List<FlowDemand> flows, List<InFlight> inFlight) implements RoomMessage {
    /** Copies the lists. */
    public DemandReport {
      flows = List.copyOf(flows);
      inFlight = List.copyOf(inFlight);
    }
  }

  /**
   * The requests to a service that a daemon has admitted and that have not ended.
   *
   * @param service the service
   * @param requests number of requests
   */
  record InFlight(ServiceId service, int requests) {}

  /**
   * The requests of one flow to one service.
   *
   * @param service the service
   * @param flow the flow
   * @param adapterHeld whether an endpoint held or loaded the adapter when the requests arrived
   * @param asked number of requests
   * @param refused number of them that were refused for a shortage
   * @param served number of admitted requests that ended after an endpoint ran them
   */
  record FlowDemand(
      ServiceId service, Flow flow, boolean adapterHeld, int asked, int refused, int served) {}

  /**
   * A coordinator reports which services have too little room for all that is asked of them;
   * replaces its earlier report.
   *
   * @param shortages one for each service that is short of room
   */
  record Shortages(List<Shortage> shortages) implements RoomMessage {
    /** Copies the list. */
    public Shortages {
      shortages = List.copyOf(shortages);
    }
  }

  /**
   * What each flow gets of a service that has too little room.
   *
   * @param service the service
   * @param room what is short
   * @param number identifies the shortage in the log of its coordinator
   * @param retryAfterMs when there is room for requests that are refused now, in milliseconds
   * @param shares flows that get only a part; all others get everything. A flow without a workspace
   *     stands for all workspaces of its priority that are not listed
   */
  record Shortage(
      ServiceId service, Room room, long number, long retryAfterMs, List<FlowShare> shares) {
    /** Copies the list. */
    public Shortage {
      shares = List.copyOf(shares);
    }
  }

  /**
   * The part of a flow's requests that may be sent.
   *
   * @param flow the flow
   * @param share the part, from 0 to 1
   */
  record FlowShare(Flow flow, double share) {}

  /**
   * A daemon reports how long endpoints took for its requests since its last report on this link.
   *
   * @param endpoints one for each endpoint that answered
   */
  record SpeedReport(List<SpeedSamples> endpoints) implements RoomMessage {
    /** Copies the list. */
    public SpeedReport {
      endpoints = List.copyOf(endpoints);
    }
  }

  /**
   * How long an endpoint took, compared with what was expected of one of average speed.
   *
   * @param endpoint the endpoint
   * @param startTimeMs when its process started, in milliseconds of the wall clock
   * @param count number of answers
   * @param actualMs sum of the times that they took, in milliseconds
   * @param expectedMs sum of the expected times, in milliseconds
   */
  record SpeedSamples(
      EndpointId endpoint, long startTimeMs, int count, long actualMs, long expectedMs) {}

  /**
   * A coordinator reports the speeds of its endpoints.
   *
   * @param snapshot whether these are all endpoints rather than changes
   * @param speeds endpoints that are slower or faster than average
   */
  record Speeds(boolean snapshot, List<EndpointSpeed> speeds) implements RoomMessage {
    /** Copies the list. */
    public Speeds {
      speeds = List.copyOf(speeds);
    }
  }

  /**
   * The speed of one endpoint.
   *
   * @param endpoint the endpoint
   * @param startTimeMs when its process started, in milliseconds of the wall clock
   * @param lasting its usual response time relative to the other endpoints of its service
   * @param current the same over the last moments
   */
  record EndpointSpeed(EndpointId endpoint, long startTimeMs, double lasting, double current) {}

  /**
   * A daemon asks when an engine may read a long prompt.
   *
   * @param id stands for the request; unique for the daemon
   * @param adapter the adapter of the request; empty for the base model alone
   * @param flow the priority and workspace of the request
   * @param gapMs the target for the longest pause between two events of a stream, in milliseconds
   * @param inTimeMs time within which the prompt has to be sent for the answer to begin in time, in
   *     milliseconds; 0 if it will be late in any case
   * @param options the engines of the coordinator that can serve the request, the preferred first
   */
  record PromptRequest(
      long id,
      Optional<AdapterName> adapter,
      Flow flow,
      long gapMs,
      long inTimeMs,
      List<PromptOption> options)
      implements RoomMessage {
    /** Copies the list. */
    public PromptRequest {
      options = List.copyOf(options);
    }
  }

  /**
   * An engine that can serve a request.
   *
   * @param endpoint the engine
   * @param tokens the part of the prompt that it has to read, in tokens
   */
  record PromptOption(EndpointId endpoint, long tokens) {}

  /**
   * A coordinator states that an engine may read a prompt.
   *
   * @param id stands for the request
   * @param endpoint the engine
   * @param delayMs after which time it may be sent, in milliseconds
   */
  record PromptTurn(long id, EndpointId endpoint, long delayMs) implements RoomMessage {}

  /**
   * A daemon reports that it sends a prompt without a turn.
   *
   * @param id stands for the request; unique for the daemon
   * @param engine the engine that it is sent to, with the part that it has to read
   */
  record PromptSent(long id, PromptOption engine) implements RoomMessage {}

  /**
   * A daemon reports that a prompt was read, or that it does not need its turn any more.
   *
   * @param id stands for the request
   */
  record PromptRead(long id) implements RoomMessage {}

  /**
   * A daemon reports that none of its requests waits for a queued load any more.
   *
   * @param adapter the adapter
   * @param lastRequest the number of the last load request to which this applies; later ones wait
   */
  record LoadWithdrawn(AdapterName adapter, long lastRequest) implements RoomMessage {}

  /**
   * A coordinator reports which shares of the demand for its data centre go to others; replaces its
   * earlier report.
   *
   * @param loads the use of its endpoints by service; only for other coordinators
   * @param shares the shares that are not zero
   */
  record SpillShares(List<SlotUse> loads, List<SpillShare> shares) implements RoomMessage {
    /** Copies the lists. */
    public SpillShares {
      loads = List.copyOf(loads);
      shares = List.copyOf(shares);
    }
  }

  /**
   * The use of a data centre's endpoints of one service.
   *
   * @param service the service
   * @param slots number of adapter slots, or of slots of plain endpoints
   * @param used number of slots that the demand for each data centre takes, waiting requests
   *     included
   */
  record SlotUse(ServiceId service, int slots, Map<DataCentreId, Integer> used) {
    /** Copies the map. */
    public SlotUse {
      used = Map.copyOf(used);
    }
  }

  /**
   * A daemon claims slack of the retry budgets.
   *
   * @param claims one for each service
   */
  record RetryClaims(List<ServiceClaim> claims) implements RoomMessage {
    /** Copies the list. */
    public RetryClaims {
      claims = List.copyOf(claims);
    }
  }

  /**
   * A claim to slack of one service's retry budget.
   *
   * @param service the service
   * @param claim the claim
   */
  record ServiceClaim(ServiceId service, RetryClaim claim) {}

  /**
   * A coordinator leases slack of the retry budgets to a daemon.
   *
   * @param grants one for each service
   */
  record RetryGrants(List<ServiceGrant> grants) implements RoomMessage {
    /** Copies the list. */
    public RetryGrants {
      grants = List.copyOf(grants);
    }
  }

  /**
   * A lease of slack of one service's retry budget.
   *
   * @param service the service
   * @param grant the lease
   */
  record ServiceGrant(ServiceId service, RetryGrant grant) {}

  /**
   * The share of the demand for one service that goes to another data centre.
   *
   * @param service the service
   * @param to the other data centre
   * @param share the share, from 0 to 1
   */
  record SpillShare(ServiceId service, DataCentreId to, double share) {}
}
