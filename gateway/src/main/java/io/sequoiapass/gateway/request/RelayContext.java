package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpTransport;
import io.sequoiapass.gateway.process.CrashWatch;
import io.sequoiapass.gateway.process.DecisionLog;
import io.sequoiapass.gateway.process.EndpointInquiries;
import io.sequoiapass.gateway.process.GatewayMetrics;
import io.sequoiapass.gateway.process.PlannedStop;
import io.sequoiapass.gateway.process.PromptGate;
import io.sequoiapass.gateway.process.StreamVersions;
import io.sequoiapass.gateway.spi.CallerProtocol;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Dependencies that all requests of the process share.
 *
 * @param http sends requests to endpoints
 * @param callers the wire protocol of the callers
 * @param endpoints the wire protocol of the endpoints
 * @param adapters requests loads of adapters
 * @param peers sends requests through peers if this daemon has no path to the endpoints
 * @param streams the streams that callers may resume at other daemons
 * @param crashes endpoints that end while they begin to write, and parts of prompts that cause it
 * @param inquiries asks endpoints whether they are alive
 * @param prompts asks when engines may read long prompts
 * @param waiting requests that wait for adapters
 * @param stop the planned stop of the process
 * @param loop runs timers
 * @param clock the monotonic clock
 * @param log the log
 * @param metrics the counters
 */
public record RelayContext(
    HttpTransport http,
    CallerProtocol callers,
    EndpointProtocol endpoints,
    AdapterSource adapters,
    PeerForwarder peers,
    StreamVersions streams,
    CrashWatch crashes,
    EndpointInquiries inquiries,
    PromptGate prompts,
    PendingRequests waiting,
    PlannedStop stop,
    ScheduledExecutorService loop,
    MillisClock clock,
    DecisionLog log,
    GatewayMetrics metrics) {

  /** Requests loads of adapters; implementations are safe for use by several threads. */
  public interface AdapterSource {

    /** Returns the data centres where loads can be requested, the nearest first. */
    List<DataCentreId> loadable();

    /**
     * Requests a load of an adapter.
     *
     * @param dataCentre the data centre whose engines are to load it
     * @param request the adapter, and how long the request may be queued
     * @return the place of the request in the queue, which it has to end; empty if the data centre
     *     has no connected coordinator
     */
    Optional<QueuePlace> requestLoad(DataCentreId dataCentre, LoadRequest request);

    /**
     * Reports that an endpoint rejected a request because it does not hold the adapter, although it
     * was expected to.
     *
     * @param dataCentre the endpoint's data centre
     * @param endpoint the endpoint
     * @param adapter the adapter
     * @param early whether the adapter is probably still loading
     */
    void missed(DataCentreId dataCentre, EndpointId endpoint, AdapterName adapter, boolean early);
  }
}
