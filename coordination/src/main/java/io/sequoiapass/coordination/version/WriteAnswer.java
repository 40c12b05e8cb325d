package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.OperationId;
import java.util.Optional;

/**
 * What came back from one try of a conditional write.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface WriteAnswer {

  /**
   * The platform stored the value.
   *
   * @param version the object's version now
   */
  record Stored(long version) implements WriteAnswer {}

  /**
   * The object had another version than expected.
   *
   * @param version its version; 0 if there is no such object
   * @param operation the operation that wrote it, if there is such an object
   */
  record Conflict(long version, Optional<OperationId> operation) implements WriteAnswer {}

  /** No answer, or an error of the server's: the change may have taken effect. */
  record Lost() implements WriteAnswer {}

  /**
   * The rate was exceeded: the change surely has not taken effect.
   *
   * @param retryAfterMillis when to come back
   */
  record Throttled(long retryAfterMillis) implements WriteAnswer {}
}
