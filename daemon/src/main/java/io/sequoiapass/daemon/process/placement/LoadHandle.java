package io.sequoiapass.daemon.process.placement;

/**
 * Names one load of an adapter version into a slot; loading the same version again gives a new
 * handle, so an unload that comes late names a handle that nobody serves any more.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the engine's name for the load, not blank
 */
public record LoadHandle(String value) {

  /** Checks the name. */
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
