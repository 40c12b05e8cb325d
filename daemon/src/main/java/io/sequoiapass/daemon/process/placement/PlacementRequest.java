package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.RequestId;
import java.util.Objects;

/**
 * Request as the placement sees it.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param id the request's identifier
 * @param adapter the adapter version that it must run on
 * @param model the adapter's base model
 * @param urgency how soon the answer is needed
 * @param deadlineMs time after which the answer has no use, on the owner's clock
 * @param expectedTokens tokens that the answer may have, at least 1
 * @param preferred the endpoint that the entry's router chose
 */
public record PlacementRequest(
    RequestId id,
    AdapterVersion adapter,
    ModelId model,
    Urgency urgency,
    long deadlineMs,
    int expectedTokens,
    EndpointId preferred) {

  /** Validates the components. */
  public PlacementRequest {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(urgency, "urgency");
    Objects.requireNonNull(preferred, "preferred");
    if (expectedTokens < 1) {
      throw new IllegalArgumentException("expectedTokens must be at least 1: " + expectedTokens);
    }
  }
}
