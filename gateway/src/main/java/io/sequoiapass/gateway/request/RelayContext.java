package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.gateway.process.DecisionLog;
import io.sequoiapass.gateway.process.GatewayMetrics;
import io.sequoiapass.gateway.spi.CallerProtocol;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

/**
 * What all requests of the process use.
 *
 * @param http carries requests to endpoints
 * @param callers the names that callers speak
 * @param endpoints the names that endpoints speak
 * @param adapters brings adapters
 * @param waiting requests that wait for adapters
 * @param loop runs what comes later
 * @param clock the monotonic clock
 * @param log the log
 * @param metrics the counters
 */
public record RelayContext(
    HttpClient http,
    CallerProtocol callers,
    EndpointProtocol endpoints,
    AdapterSource adapters,
    PendingRequests waiting,
    ScheduledExecutorService loop,
    MillisClock clock,
    DecisionLog log,
    GatewayMetrics metrics) {

  /** Brings adapters to engines; implementations are safe for use by several threads. */
  public interface AdapterSource {

    /** Returns the data centres where adapters can be ordered, the nearest first. */
    List<DataCentreId> loadable();

    /**
     * Has an adapter brought.
     *
     * @param dataCentre where to
     * @param request for what, and how long the request would wait
     * @return false if nobody can be asked
     */
    boolean requestLoad(DataCentreId dataCentre, LoadRequest request);

    /**
     * Reports that an endpoint refused a request for an adapter that should have been there.
     *
     * @param dataCentre the endpoint's data centre
     * @param endpoint the endpoint
     * @param adapter the adapter
     * @param early whether the adapter seems to be still on its way
     */
    void missed(DataCentreId dataCentre, EndpointId endpoint, AdapterName adapter, boolean early);
  }
}
