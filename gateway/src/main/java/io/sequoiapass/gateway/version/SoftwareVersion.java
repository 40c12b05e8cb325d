package io.sequoiapass.gateway.version;

import java.util.Objects;

/**
 * The version of the software that an endpoint's process runs, as its entry in the endpoint list
 * states it. Versions are compared for equality only; they have no order.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the version; empty if the entry states none
 */
public record SoftwareVersion(String value) {

  /** A version that is not known; no endpoint has it, so none continues its streams. */
  public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

  /** Checks the version. */
  public SoftwareVersion {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
