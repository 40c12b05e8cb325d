package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonSyntaxException;
import io.netty.handler.codec.http.QueryStringEncoder;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.process.settings.SettingsException;
import io.sequoiapass.daemon.process.timeline.ClockOffset;
import io.sequoiapass.daemon.process.timeline.InvalidQueryException;
import io.sequoiapass.daemon.process.timeline.MergedTimeline;
import io.sequoiapass.daemon.process.timeline.TimelineQuery;
import io.sequoiapass.daemon.process.timeline.TimelineReport;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Requests the timelines of daemons and merges them. */
final class TimelineCommand {

  private static final String PATH = "/timeline";

  /** Round trips per clock estimate; the shortest is used, and a few suffice to get a short one. */
  private static final int PROBES = 5;

  /** Matches no event, so that a probe is short and cheap for the daemon. */
  private static final String PROBE_TARGET = PATH + "?since=" + Long.MAX_VALUE;

  private static final Set<CommandFlag> UNCHANGED_FILTERS =
      Set.of(
          CommandFlag.REQUEST,
          CommandFlag.ADAPTER,
          CommandFlag.ENDPOINT,
          CommandFlag.KIND,
          CommandFlag.LIMIT);

  private static final Set<CommandFlag> TIME_FILTERS = Set.of(CommandFlag.SINCE, CommandFlag.UNTIL);

  private TimelineCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    invocation.words(0, 0, Command.TIMELINE.usage());
    checkFilters(invocation);
    List<InetSocketAddress> operators = invocation.operators();
    List<MergedTimeline.Source> sources = new ArrayList<>();
    ExitCode code = ExitCode.OK;
    try (CommandClient client = new CommandClient(invocation.timeoutMs())) {
      for (InetSocketAddress address : operators) {
        try {
          sources.add(requestTimeline(client, address, invocation));
        } catch (HttpFailure e) {
          invocation.err().println("events of " + address + " are missing: " + e.getMessage());
          code = ExitCode.UNREACHABLE;
        }
      }
    }
    print(invocation, MergedTimeline.of(sources));
    return code;
  }

  private static void checkFilters(Invocation invocation) throws SettingsException {
    try {
      TimelineQuery.parse(name -> invocation.text(flag(name)));
    } catch (InvalidQueryException e) {
      throw SettingsException.unreadable("--" + e.getMessage());
    }
  }

  private static CommandFlag flag(String filter) {
    for (CommandFlag flag : CommandFlag.values()) {
      if (flag.option().equals(filter)) {
        return flag;
      }
    }
    throw new AssertionError("no flag for filter " + filter);
  }

  private static MergedTimeline.Source requestTimeline(
      CommandClient client, InetSocketAddress address, Invocation invocation)
      throws HttpFailure, CommandException {
    ClockOffset offset = offset(client, address);
    HttpAnswer answer = client.send(HttpCall.to(address, "GET", target(invocation, offset)));
    return new MergedTimeline.Source(report(address, answer), offset);
  }

  private static ClockOffset offset(CommandClient client, InetSocketAddress address)
      throws HttpFailure, CommandException {
    MillisClock wall = MillisClock.wall();
    MillisClock monotonic = MillisClock.monotonic();
    ClockOffset best = null;
    for (int i = 0; i < PROBES; i++) {
      long sent = wall.millis();
      long start = monotonic.millis();
      HttpAnswer answer = client.send(HttpCall.to(address, "GET", PROBE_TARGET));
      long took = monotonic.millis() - start;
      ClockOffset found = ClockOffset.of(sent, report(address, answer).nowMs(), sent + took);
      best = best == null ? found : best.tighter(found);
    }
    return best;
  }

  private static TimelineReport report(InetSocketAddress address, HttpAnswer answer)
      throws CommandException {
    if (!answer.ok()) {
      throw new CommandException(
          ExitCode.FAILED,
          "daemon at " + address + " answered " + answer.status() + ": " + answer.text());
    }
    try {
      return TimelineReport.parse(answer.text());
    } catch (JsonSyntaxException e) {
      throw new CommandException(ExitCode.FAILED, "daemon at " + address + ": " + e.getMessage());
    }
  }

  /** Returns the path with the filters, the times converted to the daemon's clock. */
  private static String target(Invocation invocation, ClockOffset offset) {
    QueryStringEncoder target = new QueryStringEncoder(PATH);
    for (CommandFlag flag : UNCHANGED_FILTERS) {
      invocation.text(flag).ifPresent(text -> target.addParam(flag.option(), text));
    }
    for (CommandFlag flag : TIME_FILTERS) {
      Optional<Long> time = invocation.text(flag).map(Long::valueOf);
      time.ifPresent(ms -> target.addParam(flag.option(), Long.toString(ms + offset.aheadMs())));
    }
    return target.toString();
  }

  private static void print(Invocation invocation, MergedTimeline merged) {
    if (invocation.has(CommandFlag.JSON)) {
      invocation.out().println(merged.json());
    } else {
      merged.lines().forEach(invocation.out()::println);
    }
  }
}
