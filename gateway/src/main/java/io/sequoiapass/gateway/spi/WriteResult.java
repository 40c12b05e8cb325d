package io.sequoiapass.gateway.spi;

import java.util.Optional;

/**
 * What became of a conditional write.
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
   * The object was not as expected, and nothing was written.
   *
   * @param current the object as it is; empty if the answer does not contain it
   * @param <T> the type of the value
   */
  record Conflict<T>(Optional<Stored<T>> current) implements WriteResult<T> {}

  /**
   * The store refused the call and did nothing.
   *
   * @param status the answer's status
   * @param <T> the type of the value
   */
  record Refused<T>(int status) implements WriteResult<T> {}

  /**
   * No answer came: the write may have been carried out, or may be later if its condition holds.
   *
   * @param <T> the type of the value
   */
  record Unknown<T>() implements WriteResult<T> {}
}
