package io.sequoiapass.gateway.spi;

import java.util.Optional;

/**
 * The result of a conditional write.
 *
 * @param <T> the type of the object's value
 */
public sealed interface WriteResult<T> {

  /**
   * The write was carried out.
   *
   * @param revision the object's new revision
   * @param <T> the type of the value
   */
  record Written<T>(long revision) implements WriteResult<T> {}

  /**
   * The object did not have the expected revision, and nothing was written.
   *
   * @param current the stored object; empty if the answer does not contain it
   * @param <T> the type of the value
   */
  record Conflict<T>(Optional<Stored<T>> current) implements WriteResult<T> {}

  /**
   * The store rejected the call and did nothing.
   *
   * @param status the answer's status
   * @param <T> the type of the value
   */
  record Refused<T>(int status) implements WriteResult<T> {}

  /**
   * No answer was received: the write may have been carried out, or may still be if its condition
   * holds.
   *
   * @param <T> the type of the value
   */
  record Unknown<T>() implements WriteResult<T> {}
}
