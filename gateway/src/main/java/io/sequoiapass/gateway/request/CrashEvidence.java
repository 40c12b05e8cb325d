package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.process.CrashWatch;
import java.net.InetSocketAddress;

/**
 * Whether one request ends endpoints, or a part of its prompt does, and what its attempts show.
 *
 * <p>Safe for use by several threads.
 *
 * @param crashes endpoints that end under requests
 * @param traits what of the request may end endpoints
 */
record CrashEvidence(CrashWatch crashes, CrashTraits traits) {

  /** Returns the evidence on a request that has not been sent yet. */
  static CrashEvidence of(CrashWatch crashes, ServiceId service, CallerExchange exchange) {
    return new CrashEvidence(
        crashes, CrashTraits.of(service, exchange.facts().generation(), exchange.request()));
  }

  /** Returns whether the request must not be sent to an endpoint. */
  boolean isRefused() {
    return crashes.guard().isRefused(traits);
  }

  /** Records that an endpoint has answered the request, and the answer is complete. */
  void answered() {
    crashes.guard().answered(traits);
  }

  /** Returns the progress of one attempt at an endpoint. */
  Progress progress(EndpointId endpoint, InetSocketAddress address) {
    return new Progress(endpoint, address);
  }

  /** How far one endpoint has got with its answer; an answer may be cut off by any thread. */
  final class Progress {

    /** An answer that is written for this long clears the parts of the prompt, in milliseconds. */
    private static final long WRITTEN_MS = 500;

    /** Reads after its head until which an answer may still be beginning. */
    private static final int BEGINNING_READS = 4;

    private final EndpointId endpoint;
    private final InetSocketAddress address;
    private long begunAt;
    private boolean hasBegun;
    private boolean isWritten;
    private boolean isBroken;
    private int reads;

    private Progress(EndpointId endpoint, InetSocketAddress address) {
      this.endpoint = endpoint;
      this.address = address;
    }

    /** Records that the head of a successful answer has arrived. */
    synchronized void begun(long now) {
      hasBegun = true;
      begunAt = now;
    }

    /** Records that a part of the answer has arrived. */
    synchronized void received(long now) {
      reads++;
      if (hasBegun && now - begunAt >= WRITTEN_MS) {
        written();
      }
    }

    /** Records that the answer has ended, as far as its framing shows. */
    synchronized void ended() {
      if (hasBegun) {
        written();
      }
    }

    private void written() {
      if (!isWritten) {
        isWritten = true;
        crashes.guard().written(traits);
      }
    }

    /**
     * Records that the answer has broken off, or has not come. Its endpoint may have ended under
     * the request at any moment; under a part of its prompt only as it began to write.
     */
    synchronized void broken(long now) {
      if (!isBroken) {
        isBroken = true;
        boolean isBeginning =
            hasBegun && !isWritten && reads <= BEGINNING_READS && now - begunAt < WRITTEN_MS;
        crashes.broken(endpoint, address, crashes.guard().suspect(traits, isBeginning));
      }
    }
  }
}
