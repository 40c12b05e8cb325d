package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.process.Recipient;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Optional;

/**
 * What it means for an endpoint that it has rejected a request, for want of room or of the adapter.
 *
 * <p>Used under the request's lock.
 *
 * @param context the dependencies that all requests share
 * @param group the endpoints of the service
 * @param adapter the adapter of the request; empty for a plain call
 */
record EndpointRejection(RelayContext context, EndpointGroup group, Optional<AdapterName> adapter) {

  /**
   * Records a rejection; returns whether the same endpoint may serve the request soon.
   *
   * @param from the attempt that was rejected
   * @param answer the reason
   * @param sends the number of attempts so far
   * @param now the time, in milliseconds
   */
  boolean isEarly(EndpointAttempt from, AnswerClass answer, int sends, long now) {
    boolean busy = answer == AnswerClass.NOT_RUN_BUSY;
    if (busy) {
      from.ticket.rejectedAsFull(now);
    }
    // An endpoint without the request's base model has restarted.
    boolean blame = busy ? from.ticket.isRejectionFaulty(now) : adapter.isEmpty();
    from.ticket.ended(blame ? Recipient.Ending.FAILED : Recipient.Ending.NO_BLAME, now);
    return !busy && adapter.isPresent() && isLoading(from, adapter.get(), sends, now);
  }

  private boolean isLoading(EndpointAttempt from, AdapterName name, int sends, long now) {
    long untilMs = now + EndpointTimeouts.EARLY_RETRY_MS * sends;
    boolean early = group.postpone(from.ticket.endpoint(), name, now, untilMs);
    context.adapters().missed(from.dataCentre, from.ticket.endpoint(), name, early);
    if (!early) {
      group.absent(from.ticket.endpoint(), name);
    }
    return early;
  }
}
