package io.sequoiapass.daemon.process.log;

import java.util.Locale;
import org.jboss.logging.Logger.Level;

/**
 * Lists every event that a process logs; docs/EVENTS.md is generated from it.
 *
 * <p>A number is never given to another event, so that operators' alarms keep their meaning.
 */
public enum LogEvent {
  /** The process has read its settings. */
  STARTED(
      1,
      Level.INFO,
      "daemon %s starts in data centre %s on host %s",
      "The process has read its settings. It takes no requests yet."),
  /** The daemon takes requests. */
  READY(
      2,
      Level.INFO,
      "daemon %s takes requests on port %s",
      "The daemon holds a configuration and takes requests."),
  /** A planned stop has begun. */
  DRAINING(
      3,
      Level.INFO,
      "draining; %s requests under way",
      "A planned stop: no new requests, those under way go on. Wait for SQP-0004."),
  /** The process ends. */
  STOPPED(
      4,
      Level.INFO,
      "stopped; %s requests cut off",
      "The process ends. After a planned stop the number cut off has to be 0."),
  /** The lease was taken. */
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
      "The platform is slow or the host is short of processor time. Look at both."),
  /** The lease lapsed. */
  LEASE_LOST(
      7,
      Level.WARN,
      "lease of %s lapsed; no orders to endpoints that do not check fences",
      "Others may take the endpoints over. The daemon serves what is resident."),
  /** The process slept and may have lost its lease. */
  LEASE_PAUSED(
      8,
      Level.WARN,
      "process paused for %s ms; orders stopped until the lease is known",
      "The host stopped the process for a while. Look for memory pressure or a frozen host."),
  /** The ownership table changed. */
  OWNERSHIP_CHANGED(
      9,
      Level.INFO,
      "ownership of data centre %s is now at epoch %s",
      "Endpoints were given to other daemons. Frequent ones point at daemons that come and go."),
  /** An endpoint came to this daemon. */
  ENDPOINT_TAKEN_OVER(
      10,
      Level.INFO,
      "endpoint %s taken over at fence %s; %s requests in flight",
      "This daemon owns the endpoint now and has learnt what runs there."),
  /** An endpoint went to another daemon. */
  ENDPOINT_RELEASED(
      11, Level.INFO, "endpoint %s released to %s", "Another daemon owns the endpoint now."),
  /** An endpoint has no live owner. */
  ENDPOINT_ORPHANED(
      12,
      Level.WARN,
      "endpoint %s has no live owner",
      "Its owner is gone and the platform could not name another one. Look at the platform."),
  /** A configuration came into force. */
  CONFIGURATION_APPLIED(
      13,
      Level.INFO,
      "configuration revision %s in force, %s objects changed",
      "Requests from now on use this configuration."),
  /** A preset came into force. */
  PRESET_IN_FORCE(
      14, Level.INFO, "preset %s in force", "Exactly one preset is in force at any moment."),
  /** The platform does not answer. */
  PLATFORM_UNREACHABLE(
      15,
      Level.WARN,
      "platform unreachable: %s",
      "The daemon goes on with what it knows. No endpoint changes its owner meanwhile."),
  /** The platform answers again. */
  PLATFORM_BACK(
      16,
      Level.INFO,
      "platform answers again after %s ms",
      "Changes of configuration and of ownership come through again."),
  /** A peer link opened. */
  PEER_CONNECTED(17, Level.INFO, "peer %s connected", "A link to another daemon is open."),
  /** A peer link closed. */
  PEER_LOST(
      18,
      Level.WARN,
      "peer %s lost: %s",
      "A link to another daemon closed. Many at once point at the network."),
  /** An adapter did not load. */
  LOAD_FAILED(
      19,
      Level.WARN,
      "load of %s on endpoint %s failed: %s",
      "Requests that waited for it are moved or refused. Look at the weight store."),
  /** An engine came back empty. */
  ENGINE_RESTARTED(
      20,
      Level.WARN,
      "engine %s restarted empty; boot %s",
      "Its adapters are loaded again, those most in demand first."),
  /** A request may or may not have run. */
  REQUEST_OUTCOME_UNKNOWN(
      21,
      Level.WARN,
      "request %s may have run: %s",
      "The caller was told so. For work that may not be repeated, look at what ran before"
          + " sending it again."),
  /** A fault in this program. */
  INTERNAL_ERROR(
      22, Level.ERROR, "internal error in %s", "A fault in the program. Report it with the trace."),
  /** Requests were refused under load. */
  REFUSED_OVERLOAD(
      23,
      Level.WARN,
      "%s requests refused for overload in the last %s ms",
      "At most one line an interval. Add endpoints or change the preset."),
  /** The platform's host list changed what it says of this data centre's hosts. */
  HOSTS_LEAVING(
      50,
      Level.INFO,
      "%s hosts of this data centre are leaving or gone, list %s as read by %s",
      "Their endpoints finish what they have and get no new work until the list shows them live.");

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

  /** Returns what the event means to an operator and what to do. */
  public String description() {
    return description;
  }

  /** Returns how many arguments the format asks for. */
  int parameters() {
    return format.split("%s", -1).length - 1;
  }
}
