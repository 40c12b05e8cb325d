package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Optional;

/**
 * The wait of one request for an adapter or an endpoint: its entries among the pending requests,
 * its timer and the time spent.
 *
 * <p>Not safe for use by several threads: used under the request's lock.
 */
final class RequestWait {

  private final RelayContext context;
  private final EndpointGroup group;
  private final Optional<AdapterName> adapter;
  private final RelayedRequest request;
  private final DispatchTimer timer;
  private final WaitTimes times = new WaitTimes();
  private boolean waiting;

  RequestWait(
      RelayContext context,
      EndpointGroup group,
      Optional<AdapterName> adapter,
      RelayedRequest request) {
    this.context = context;
    this.group = group;
    this.adapter = adapter;
    this.request = request;
    this.timer = new DispatchTimer(context.loop(), context.clock());
  }

  /** Waits for an adapter, and dispatches the request after a time at the latest. */
  void start(WaitTimes.Kind what, long now, long waitMs) {
    times.begin(what, now);
    adapter.ifPresent(name -> context.waiting().add(name, request));
    waiting = true;
    dispatchIn(waitMs);
  }

  /** Waits until an endpoint of the group accepts the request. */
  void startForEndpoint(long now, long waitMs) {
    context.waiting().addForEndpoint(group, request);
    start(WaitTimes.Kind.SLOT, now, waitMs);
  }

  /** Changes when the request is dispatched at the latest. */
  void dispatchIn(long ms) {
    timer.schedule(ms, request::dispatchIfWaiting);
  }

  void stop() {
    timer.cancel();
    if (waiting) {
      times.end(context.clock().millis());
      waiting = false;
      adapter.ifPresent(name -> context.waiting().remove(name, request));
      context.waiting().removeForEndpoint(group, request);
    }
  }

  boolean isWaiting() {
    return waiting;
  }

  /** Returns how many requests that arrived earlier wait for endpoints of the group. */
  int countBefore() {
    return context.waiting().countBefore(group, request.arrivedAt());
  }

  WaitTimes times() {
    return times;
  }
}
