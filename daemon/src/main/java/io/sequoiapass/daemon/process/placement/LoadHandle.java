package io.sequoiapass.daemon.process.placement;

/**
 * Identifier of one load of an adapter version into a slot. Loading the same version again gives a
 * new handle, so a late unload order names a handle that is not in use.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the engine's identifier for the load, not blank
 */
public record LoadHandle(String value) {

  /** Validates the value. */
  public LoadHandle {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException("handle must not be blank: " + value);
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
