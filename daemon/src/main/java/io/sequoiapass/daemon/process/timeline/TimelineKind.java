package io.sequoiapass.daemon.process.timeline;

/** Kinds of timeline events. */
public enum TimelineKind {
  /** A request was accepted from a caller. */
  REQUEST_ACCEPTED,
  /** An endpoint was chosen for a request. */
  REQUEST_ROUTED,
  /** A request was sent to the owner of its endpoint. */
  REQUEST_FORWARDED,
  /** A request waits because its adapter is not loaded. */
  REQUEST_STALLED,
  /** A request was written to its endpoint. */
  REQUEST_STARTED,
  /** The first token of a request went to the caller. */
  REQUEST_FIRST_TOKEN,
  /** An attempt failed and another one follows. */
  REQUEST_RETRIED,
  /** A stream continues through another owner. */
  REQUEST_RESUMED,
  /** The complete answer was sent to the caller. */
  REQUEST_ANSWERED,
  /** The caller was told that the request did not run. */
  REQUEST_NOT_RUN,
  /** The caller was told that the request may have run. */
  REQUEST_UNKNOWN,
  /** The caller disconnected or the deadline passed. */
  REQUEST_CANCELLED,
  /** An order was sent to an endpoint. */
  ORDER_SENT,
  /** An endpoint carried out an order. */
  ORDER_DONE,
  /** An endpoint refused an order. */
  ORDER_REFUSED,
  /** A load began. */
  LOAD_STARTED,
  /** A load succeeded. */
  LOAD_DONE,
  /** A load failed. */
  LOAD_FAILED,
  /** An adapter was evicted. */
  EVICTED,
  /** The lease was acquired. */
  LEASE_ACQUIRED,
  /** The lease was renewed late. */
  LEASE_LATE,
  /** The lease expired. */
  LEASE_LOST,
  /** The process was paused. */
  PROCESS_PAUSED,
  /** The ownership table changed. */
  OWNERSHIP_CHANGED,
  /** This daemon took over an endpoint. */
  ENDPOINT_TAKEN_OVER,
  /** An endpoint was handed over to another daemon. */
  ENDPOINT_RELEASED,
  /** An endpoint has no live owner. */
  ENDPOINT_ORPHANED,
  /** An engine restarted without adapters. */
  ENGINE_RESTARTED,
  /** A configuration was applied. */
  CONFIGURATION_APPLIED,
  /** The set of hosts that the platform lists as leaving or absent changed. */
  HOSTS_CHANGED,
  /** A preset came into force. */
  PRESET_IN_FORCE,
  /** The platform stopped answering. */
  PLATFORM_UNREACHABLE,
  /** The platform is reachable again. */
  PLATFORM_BACK,
  /** A connection to a peer opened. */
  PEER_CONNECTED,
  /** A connection to a peer closed. */
  PEER_LOST,
  /** A planned stop began. */
  DRAINING,
  /** A frame or an answer did not match its request. */
  MISMATCH,
  /** Another fault occurred. */
  FAULT
}
