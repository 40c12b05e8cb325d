package io.sequoiapass.daemon.process.timeline;

/**
 * Names what an event came from, so that events of several processes can be read as one chain.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name: of a request, of an order, of a write to the platform
 */
public record CauseId(String value) {

  /** Longest name, so that the memory of the time line is bounded. */
  static final int MAX_LENGTH = 200;

  /** Checks the name. */
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
