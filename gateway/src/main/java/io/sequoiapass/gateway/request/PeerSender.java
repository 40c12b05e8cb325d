package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.process.PeerDirectory;
import io.sequoiapass.gateway.process.Recipient;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Sends one request through peers. Not safe for use by several threads: used under the request's
 * lock.
 */
final class PeerSender {

  private final RelayContext context;
  private final RequestOrigin origin;
  private final ForwardedRequest forward;
  private final AttemptCount attempts;
  private final RequestLog requestLog;
  private final StreamBinding binding;

  PeerSender(
      RelayContext context,
      RequestOrigin origin,
      ForwardedRequest forward,
      AttemptCount attempts,
      RequestLog requestLog,
      StreamBinding binding) {
    this.context = context;
    this.origin = origin;
    this.forward = forward;
    this.attempts = attempts;
    this.requestLog = requestLog;
    this.binding = binding;
  }

  /**
   * Sends the request.
   *
   * @param request receives the answer
   * @param avoid peers that it must not be sent through
   * @param lastEventId the last event that the caller has received
   * @param timeoutMs maximum time until the answer is complete, in milliseconds
   * @return empty if there is no peer, or no further send is allowed
   */
  Optional<PeerAttempt> send(
      RelayedRequest request, AvoidedRecipients avoid, OptionalLong lastEventId, long timeoutMs) {
    Optional<PeerDirectory.PeerTicket> ticket =
        origin.mayUsePeers() ? context.peers().begin(avoid) : Optional.empty();
    if (ticket.isEmpty()) {
      return Optional.empty();
    }
    long now = context.clock().millis();
    if (!attempts.trySendThroughPeer(now)) {
      ticket.get().ended(Recipient.Ending.NO_BLAME, now);
      requestLog.retryDenied(attempts);
      return Optional.empty();
    }
    requestLog.sentThroughPeer(ticket.get(), attempts.sends(), origin, now);
    PeerAttempt attempt = new PeerAttempt(request, ticket.get(), now);
    attempt.stream =
        context
            .peers()
            .send(
                ticket.get(),
                forward,
                forward.decided(
                    context.peers().self(),
                    origin,
                    now,
                    attempts.runsOfOthers(),
                    attempts.handOn(now),
                    lastEventId,
                    binding.software()),
                timeoutMs,
                attempt);
    return Optional.of(attempt);
  }

  /**
   * Returns whether a request whose recipient does not respond can be sent through another peer.
   */
  boolean isAvailable(AvoidedRecipients avoid) {
    return origin.mayUsePeers() && context.peers().isAvailable(avoid);
  }
}
