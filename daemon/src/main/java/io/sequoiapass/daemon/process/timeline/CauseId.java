package io.sequoiapass.daemon.process.timeline;

/**
 * Correlation id of the events that one cause produces in several processes.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the id of a request, an order or a write to the platform
 */
public record CauseId(String value) {

  /** Maximum length, in characters; bounds the memory of a timeline. */
  static final int MAX_LENGTH = 200;

  /** Checks the length. */
  public CauseId {
    if (value == null || value.isBlank() || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("cause must hold 1 to 200 characters: " + value);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
