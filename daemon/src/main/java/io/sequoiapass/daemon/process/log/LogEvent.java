package io.sequoiapass.daemon.process.log;

import java.util.Locale;
import org.jboss.logging.Logger.Level;

/**
 * Events that a process logs; docs/EVENTS.md is generated from this list.
 *
 * <p>A number is never reused for another event, because operators' alerts depend on it.
 */
public enum LogEvent {
  /** The process has read its settings. */
  STARTED(
      1,
      Level.INFO,
      "daemon %s starts in data centre %s on host %s",
      "The process has read its settings. It does not accept requests yet."),
  /** The daemon accepts requests. */
  READY(
      2,
      Level.INFO,
      "daemon %s accepts requests on port %s",
      "The daemon holds a configuration and accepts requests."),
  /** A planned stop has begun. */
  DRAINING(
      3,
      Level.INFO,
      "draining; %s requests in flight",
      "A planned stop: new requests are refused, those in flight continue. Wait for SQP-0004."),
  /** The process ends. */
  STOPPED(
      4,
      Level.INFO,
      "stopped; %s requests cut off",
      "The process ends. After a planned stop, the number of requests cut off must be 0."),
  /** The lease was acquired. */
  LEASE_ACQUIRED(
      5,
      Level.INFO,
      "lease of %s acquired at version %s",
      "The daemon holds its lease and may own endpoints."),
  /** The lease was renewed later than planned. */
  LEASE_RENEWED_LATE(
      6,
      Level.WARN,
      "lease of %s renewed %s ms late",
      "The platform is slow or the host is short of processor time. Check both."),
  /** The lease expired. */
  LEASE_LOST(
      7,
      Level.WARN,
      "lease of %s expired; no orders to endpoints that do not check fencing numbers",
      "Other daemons may take over the endpoints. This daemon continues to serve resident adapters."),
  /** The process was paused and may have lost its lease. */
  LEASE_PAUSED(
      8,
      Level.WARN,
      "process paused for %s ms; orders suspended until the lease is confirmed",
      "The host suspended the process. Check for memory pressure or a frozen host."),
  /** The ownership table changed. */
  OWNERSHIP_CHANGED(
      9,
      Level.INFO,
      "ownership of data centre %s changed to epoch %s",
      "Endpoints were assigned to other daemons. Frequent changes indicate unstable daemons."),
  /** This daemon took over an endpoint. */
  ENDPOINT_TAKEN_OVER(
      10,
      Level.INFO,
      "endpoint %s taken over at fencing number %s; %s requests in flight",
      "This daemon owns the endpoint and has read the work in progress there."),
  /** An endpoint was handed over to another daemon. */
  ENDPOINT_RELEASED(
      11, Level.INFO, "endpoint %s released to %s", "Another daemon owns the endpoint."),
  /** An endpoint has no live owner. */
  ENDPOINT_ORPHANED(
      12,
      Level.WARN,
      "endpoint %s has no live owner",
      "Its owner has failed and the platform could not assign another one. Check the platform."),
  /** A configuration was applied. */
  CONFIGURATION_APPLIED(
      13,
      Level.INFO,
      "configuration revision %s applied, %s objects changed",
      "New requests use this configuration."),
  /** A preset came into force. */
  PRESET_IN_FORCE(
      14, Level.INFO, "preset %s in force", "Exactly one preset is in force at any moment."),
  /** The platform does not answer. */
  PLATFORM_UNREACHABLE(
      15,
      Level.WARN,
      "platform unreachable: %s",
      "The daemon continues with its last known state. No endpoint changes its owner meanwhile."),
  /** The platform is reachable again. */
  PLATFORM_BACK(
      16,
      Level.INFO,
      "platform reachable again after %s ms",
      "Changes of configuration and ownership are applied again."),
  /** A connection to a peer opened. */
  PEER_CONNECTED(17, Level.INFO, "peer %s connected", "A connection to another daemon is open."),
  /** A connection to a peer closed. */
  PEER_LOST(
      18,
      Level.WARN,
      "peer %s lost: %s",
      "A connection to another daemon closed. Many at the same time indicate a network fault."),
  /** An adapter failed to load. */
  LOAD_FAILED(
      19,
      Level.WARN,
      "load of %s on endpoint %s failed: %s",
      "Requests that waited for it are rerouted or refused. Check the weight store."),
  /** An engine restarted without adapters. */
  ENGINE_RESTARTED(
      20,
      Level.WARN,
      "engine %s restarted empty; boot %s",
      "Its adapters are reloaded, those in highest demand first."),
  /** A request may or may not have run. */
  REQUEST_OUTCOME_UNKNOWN(
      21,
      Level.WARN,
      "request %s may have run: %s",
      "The caller was told so. For work that must not be repeated, check what ran before"
          + " sending it again."),
  /** A fault in this program. */
  INTERNAL_ERROR(
      22,
      Level.ERROR,
      "internal error in %s",
      "A fault in the program. Report it with the stack trace."),
  /** Requests were refused because of overload. */
  REFUSED_OVERLOAD(
      23,
      Level.WARN,
      "%s requests refused for overload in the last %s ms",
      "Logged at most once per interval. Add endpoints or change the preset."),
  /** The state of this data centre's hosts in the platform's host list changed. */
  HOSTS_LEAVING(
      50,
      Level.INFO,
      "%s hosts of this data centre are leaving or absent, list %s as read by %s",
      "Their endpoints finish their work and get no new work until the list shows the hosts as live.");

  private final int number;
  private final Level level;
  private final String format;
  private final String description;

  LogEvent(int number, Level level, String format, String description) {
    this.number = number;
    this.level = level;
    this.format = format;
    this.description = description;
  }

  /** Returns the number as written in log lines, such as {@code SQP-0001}. */
  public String id() {
    return String.format(Locale.ROOT, "SQP-%04d", number);
  }

  /** Returns the level. */
  public Level level() {
    return level;
  }

  /** Returns the message's format, with {@code %s} for each argument. */
  public String format() {
    return format;
  }

  /** Returns what the event means for an operator and what to do. */
  public String description() {
    return description;
  }

  /** Returns the number of arguments of the format. */
  int parameters() {
    return format.split("%s", -1).length - 1;
  }
}
