package io.sequoiapass.coordination.version;

/** The kinds of configuration objects on the platform. */
public enum ObjectKind {
  /** An adapter and its versions. */
  ADAPTER,
  /** A service that sends requests. */
  SERVICE,
  /** An endpoint that runs requests. */
  ENDPOINT,
  /** The preset; one object. */
  PRESET;

  /** Returns the name of the kind in platform paths. */
  public String pathName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
