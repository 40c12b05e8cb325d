package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.version.SoftwareVersion;

/**
 * Lets a stream that its caller has begun to receive look for an endpoint until its deadline.
 *
 * <p>A refusal that a new request takes to another daemon would cut such a stream, and what its
 * endpoints have made would be lost. Used under the request's lock.
 */
final class StreamContinuation {

  /** Time until the first search, in milliseconds; each further one takes twice as long. */
  private static final long FIRST_INTERVAL_MS = 250;

  private static final long MAX_INTERVAL_MS = 1_000;

  private final EndpointSelection selection;
  private final EndpointSender sender;
  private final AvoidedRecipients avoid;
  private final RequestWait wait;
  private long intervalMs = FIRST_INTERVAL_MS;

  /**
   * Creates it.
   *
   * @param selection chooses endpoints
   * @param sender counts the attempts
   * @param avoid where the request must not be sent; cleared before each search, since an endpoint
   *     that rejected it may take it now
   * @param wait the wait of the request
   */
  StreamContinuation(
      EndpointSelection selection,
      EndpointSender sender,
      AvoidedRecipients avoid,
      RequestWait wait) {
    this.selection = selection;
    this.sender = sender;
    this.avoid = avoid;
    this.wait = wait;
  }

  /**
   * Waits for the next search instead of a refusal.
   *
   * @param refusal the refusal
   * @param now the time, in milliseconds
   * @return whether the request waits; false if it has no stream to lose, no search can succeed, or
   *     the daemon that sent it here can search elsewhere
   */
  boolean trySearchAgain(Choice.Refuse refusal, long now) {
    long leftMs = selection.origin().remainingMs(now);
    boolean searches =
        sender.response().isStarted()
            && selection.origin().mayUsePeers()
            && refusal.kind() != ErrorKind.PROMPT_CRASHES_ENDPOINTS
            && leftMs > FIRST_INTERVAL_MS
            && sender.attempts().mayRepeat(now)
            && hasEndpoint(now);
    if (searches) {
      sender.log().searchesAgain(refusal.kind());
      avoid.clear();
      wait.start(WaitTimes.Kind.SLOT, now, Math.min(intervalMs, leftMs / 2));
      intervalMs = Math.min(2 * intervalMs, MAX_INTERVAL_MS);
    }
    return searches;
  }

  /**
   * Waits before the stream is sent to an endpoint that has failed it, which is chosen only while
   * there is no other.
   *
   * @param choice the choice
   * @param now the time, in milliseconds
   * @return whether the request waits
   */
  boolean tryPause(Choice choice, long now) {
    return choice instanceof Choice.Send send
        && avoid.endpoints().contains(send.candidate().endpoint())
        && trySearchAgain(Choice.Refuse.of(ErrorKind.NO_ENDPOINT), now);
  }

  /** Returns whether any endpoint runs the software version that began the stream. */
  private boolean hasEndpoint(long now) {
    Demand demand = selection.demand(avoid, now);
    return demand.software().filter(SoftwareVersion.UNSTATED::equals).isPresent()
        || selection.group().entries(now).stream()
            .anyMatch(entry -> demand.allows(entry.software()));
  }
}
