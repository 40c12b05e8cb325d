package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.ServiceId;
import java.util.Objects;

/**
 * A request's entry in an {@link AdmissionQueue}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param request the request
 * @param service the service whose share it uses
 * @param flow the unit of fair sharing within the service: the adapter's name, or empty
 * @param priority its priority
 * @param deadlineMillis when the answer is due
 * @param cost the amount of work, such as its number of tokens; positive
 */
public record AdmissionTicket(
    RequestId request,
    ServiceId service,
    String flow,
    Priority priority,
    long deadlineMillis,
    double cost) {

  /** Validates the components. */
  public AdmissionTicket {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(flow, "flow");
    Objects.requireNonNull(priority, "priority");
    if (!(cost > 0)) {
      throw new IllegalArgumentException("cost must be positive: " + cost);
    }
  }
}
