package io.sequoiapass.daemon.process.timeline;

/** Lists the kinds of events that a time line holds. */
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
  /** A stream goes on through another owner. */
  REQUEST_RESUMED,
  /** The caller got the whole answer. */
  REQUEST_ANSWERED,
  /** The caller was told that the request did not run. */
  REQUEST_NOT_RUN,
  /** The caller was told that the request may have run. */
  REQUEST_UNKNOWN,
  /** The caller went away or the deadline passed. */
  REQUEST_CANCELLED,
  /** An order was sent to an endpoint. */
  ORDER_SENT,
  /** An endpoint carried out an order. */
  ORDER_DONE,
  /** An endpoint refused an order. */
  ORDER_REFUSED,
  /** A load began. */
  LOAD_STARTED,
  /** A load ended well. */
  LOAD_DONE,
  /** A load failed. */
  LOAD_FAILED,
  /** An adapter was evicted. */
  EVICTED,
  /** The lease was acquired. */
  LEASE_ACQUIRED,
  /** The lease was renewed late. */
  LEASE_LATE,
  /** The lease lapsed. */
  LEASE_LOST,
  /** The process was paused. */
  PROCESS_PAUSED,
  /** The ownership table changed. */
  OWNERSHIP_CHANGED,
  /** An endpoint came to this daemon. */
  ENDPOINT_TAKEN_OVER,
  /** An endpoint went to another daemon. */
  ENDPOINT_RELEASED,
  /** An endpoint has no live owner. */
  ENDPOINT_ORPHANED,
  /** An engine restarted empty. */
  ENGINE_RESTARTED,
  /** A configuration came into force. */
  CONFIGURATION_APPLIED,
  /** The hosts that the platform lists as leaving or gone changed. */
  HOSTS_CHANGED,
  /** A preset came into force. */
  PRESET_IN_FORCE,
  /** The platform stopped answering. */
  PLATFORM_UNREACHABLE,
  /** The platform answers again. */
  PLATFORM_BACK,
  /** A peer link opened. */
  PEER_CONNECTED,
  /** A peer link closed. */
  PEER_LOST,
  /** A planned stop began. */
  DRAINING,
  /** A frame or an answer did not match its request. */
  MISMATCH,
  /** Something else went wrong. */
  FAULT
}
