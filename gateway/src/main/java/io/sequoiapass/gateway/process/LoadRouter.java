package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Optional;
import java.util.Set;

/**
 * Handles load requests of daemons: loads the adapter here, queues the load, or redirects the
 * daemon to a copy in another data centre.
 *
 * <pre>{@code
 * LoadReply reply = router.route(request, linkedDaemon, now);
 * }</pre>
 *
 * <p>Requests for one adapter may reach the coordinators of several data centres before placement
 * updates reach all daemons. Coordinators receive each other's updates first, and a redirect avoids
 * a second transfer. Not safe for use by several threads.
 */
final class LoadRouter {

  /** Longest delay in a load request, in milliseconds; a larger one is taken for this one. */
  private static final long MAX_DELAY_MS = 600_000;

  private final PlacementPlan plan;
  private final LoadQueue queue;
  private final RemoteCopies remoteCopies;

  /** Finds copies of adapters in other data centres. */
  @FunctionalInterface
  interface RemoteCopies {

    /**
     * Returns a copy that is held or loading outside this data centre.
     *
     * @param adapter the adapter
     * @param version the least version
     */
    Optional<LinkMessage.Placement> find(AdapterName adapter, long version);
  }

  LoadRouter(PlacementPlan plan, LoadQueue queue, RemoteCopies remoteCopies) {
    this.plan = plan;
    this.queue = queue;
    this.remoteCopies = remoteCopies;
  }

  /**
   * Handles a load request.
   *
   * @param request the request
   * @param from the daemon that sends it
   * @param now the time, in milliseconds
   */
  LoadReply route(LinkMessage.LoadRequest request, LinkedDaemon from, long now) {
    Optional<LinkMessage.Placement> remote = remoteCopy(request);
    if (remote.isPresent()) {
      return new LoadReply.HeldElsewhere(remote.get());
    }
    LoadQueue.Entry entry = entry(request, from, now);
    return request.waitMs() > 0
        ? queue.loadOrEnqueue(entry, new QueuedLoads.Source(from, request.number()), now)
        : queue.load(entry, request.another(), now);
  }

  /**
   * Returns a remote copy for a redirect. A daemon that has a record of a copy and still requests a
   * load cannot use that copy.
   */
  private Optional<LinkMessage.Placement> remoteCopy(LinkMessage.LoadRequest request) {
    boolean redirects =
        !request.another()
            && !request.copyKnown()
            && !plan.holds(request.adapter(), request.version());
    return redirects
        ? remoteCopies
            .find(request.adapter(), request.version())
            .filter(copy -> !request.excluded().contains(copy.endpoint()))
        : Optional.empty();
  }

  private LoadQueue.Entry entry(LinkMessage.LoadRequest request, LinkedDaemon from, long now) {
    long inTimeUntil = now + bounded(request.maxDelayMs());
    long waitMs = bounded(request.waitMs() > 0 ? request.waitMs() : request.deadlineMs());
    return new LoadQueue.Entry(
        new LoadNeed(
            request.adapter(),
            request.version(),
            new RequestSize(request.promptTokens(), request.outputTokens()),
            request.flow(),
            Set.copyOf(request.excluded()),
            Optional.ofNullable(from.daemon)),
        inTimeUntil,
        now + waitMs,
        queue.place(request.returnKey(), inTimeUntil, now));
  }

  private static long bounded(long delayMs) {
    return Math.max(0, Math.min(delayMs, MAX_DELAY_MS));
  }
}
