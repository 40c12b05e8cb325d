package io.sequoiapass.coordination.version;

/** The type of process that runs at an endpoint. */
public enum EndpointType {
  /** A model engine with slots for adapters. */
  ENGINE,
  /** A plain service. */
  SERVICE
}
