package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.OperationId;
import java.util.Optional;

/**
 * Result of one attempt of a conditional write.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface WriteAnswer {

  /**
   * The platform stored the value.
   *
   * @param version the object's new version
   */
  record Stored(long version) implements WriteAnswer {}

  /**
   * The object's version differed from the expected version.
   *
   * @param version the object's current version; 0 if there is no such object
   * @param operation the operation that wrote it, if there is such an object
   */
  record Conflict(long version, Optional<OperationId> operation) implements WriteAnswer {}

  /** No answer, or a server error: the change may have taken effect. */
  record Lost() implements WriteAnswer {}

  /**
   * The rate limit was exceeded: the change has not taken effect.
   *
   * @param retryAfterMillis the delay before a retry, in milliseconds
   */
  record Throttled(long retryAfterMillis) implements WriteAnswer {}
}
