package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.ServiceId;
import java.util.Objects;

/**
 * Is one request's place in an {@link AdmissionQueue}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param request the request
 * @param service whose share it uses
 * @param flow what is shared fairly within the service: the adapter's name, or empty
 * @param priority its priority
 * @param deadlineMillis when the answer is due
 * @param cost the work it stands for, such as its tokens; positive
 */
public record AdmissionTicket(
    RequestId request,
    ServiceId service,
    String flow,
    Priority priority,
    long deadlineMillis,
    double cost) {

  /** Checks the parts. */
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
