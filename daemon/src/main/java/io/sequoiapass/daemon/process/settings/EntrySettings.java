package io.sequoiapass.daemon.process.settings;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.request.AdmissionSettings;
import io.sequoiapass.daemon.process.log.LogFormat;
import io.sequoiapass.daemon.process.placement.PlacementPolicy;
import io.sequoiapass.daemon.process.placement.PlacementWeights;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Validated settings of one entry daemon.
 *
 * <pre>{@code
 * EntrySettings settings = EntrySettings.parse(List.of("--id", "entry-1", ...), System.getenv());
 * int port = settings.callerPort();
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class EntrySettings {

  private final Map<Setting, String> values;
  private final InetSocketAddress platform;
  private final List<PeerAddress> peers;

  private EntrySettings(Map<Setting, String> values) throws SettingsException {
    this.values = values;
    this.platform = Addresses.parse(Setting.PLATFORM.names(), values.get(Setting.PLATFORM));
    this.peers = List.copyOf(SettingType.parsePeers(Setting.PEERS, values.get(Setting.PEERS)));
  }

  /**
   * Parses settings from flags and environment variables; a flag takes precedence over a variable.
   *
   * @param arguments the flags
   * @param environment the environment variables
   * @throws SettingsException if a setting is missing or invalid
   */
  public static EntrySettings parse(List<String> arguments, Map<String, String> environment)
      throws SettingsException {
    CommandLine line = commandLine(arguments);
    Map<Setting, String> values = new EnumMap<>(Setting.class);
    for (Setting setting : Setting.values()) {
      values.put(setting, value(setting, line, environment));
    }
    EntrySettings settings = new EntrySettings(values);
    settings.checkDependencies();
    return settings;
  }

  private static CommandLine commandLine(List<String> arguments) throws SettingsException {
    try {
      CommandLine line =
          DefaultParser.builder()
              .setAllowPartialMatching(false)
              .get()
              .parse(options(), arguments.toArray(new String[0]));
      if (!line.getArgList().isEmpty()) {
        throw SettingsException.unreadable("not a flag: '" + line.getArgList().get(0) + "'");
      }
      rejectRepeated(line);
      return line;
    } catch (ParseException e) {
      throw SettingsException.unreadable(e.getMessage());
    }
  }

  /** Rejects a setting that is given more than once, since it is unclear which value applies. */
  private static void rejectRepeated(CommandLine line) throws SettingsException {
    for (Setting setting : Setting.values()) {
      String[] given = line.getOptionValues(setting.option());
      if (given != null && given.length > 1) {
        throw SettingsException.wrongValue(setting.names(), String.join(" ", given), "one value");
      }
    }
  }

  private static Options options() {
    Options options = new Options();
    for (Setting setting : Setting.values()) {
      options.addOption(
          Option.builder().longOpt(setting.option()).hasArg().desc(setting.meaning()).get());
    }
    return options;
  }

  private static String value(Setting setting, CommandLine line, Map<String, String> environment)
      throws SettingsException {
    String given = line.getOptionValue(setting.option(), environment.get(setting.variable()));
    String value = given == null ? setting.defaultValue() : given;
    if (value == null) {
      throw SettingsException.missing(setting.names(), setting.allowed());
    }
    setting.check(value);
    return value;
  }

  /** Checks the settings whose allowed values depend on another setting. */
  private void checkDependencies() throws SettingsException {
    requireAtMost(Setting.LEASE_MARGIN_MS, (leaseDurationMs() - 1) / 2);
    requireAtMost(Setting.HEARTBEAT_INTERVAL_MS, leaseDurationMs() / 3);
    if (number(Setting.MAX_QUEUED_PER_SERVICE) > number(Setting.MAX_QUEUED)) {
      throw SettingsException.wrongValue(
          Setting.MAX_QUEUED_PER_SERVICE.names(),
          values.get(Setting.MAX_QUEUED_PER_SERVICE),
          "at most --max-queued " + number(Setting.MAX_QUEUED));
    }
    for (PeerAddress peer : peers) {
      if (peer.daemon().equals(daemon())) {
        throw SettingsException.wrongValue(
            Setting.PEERS.names(),
            values.get(Setting.PEERS),
            "daemons other than --id " + daemon());
      }
    }
  }

  private void requireAtMost(Setting setting, long bound) throws SettingsException {
    if (number(setting) > bound) {
      String allowed =
          setting.minimum() + " to " + bound + " ms at --lease-duration-ms " + leaseDurationMs();
      throw SettingsException.wrongValue(setting.names(), values.get(setting), allowed);
    }
  }

  /** Returns the help text of the entry command. */
  public static String help() {
    StringWriter text = new StringWriter();
    PrintWriter out = new PrintWriter(text);
    out.print("usage: sequoiapass entry --id NAME --data-centre NAME --host NAME");
    out.print(" --platform HOST:PORT [flags]\n\n");
    out.print("Runs one entry daemon until it is stopped.\n\n");
    for (Setting setting : Setting.values()) {
      String defaultValue = setting.defaultValue();
      out.print("  " + setting.flag() + " (" + setting.variable() + ")\n");
      out.print("      " + setting.meaning() + "\n");
      out.print("      allowed: " + setting.allowed());
      out.print(defaultValue == null ? "; required\n" : "; default: '" + defaultValue + "'\n");
    }
    return text.toString();
  }

  private long number(Setting setting) {
    return Long.parseLong(values.get(setting));
  }

  /** Returns this daemon's name. */
  public DaemonId daemon() {
    return new DaemonId(values.get(Setting.ID));
  }

  /** Returns this process's data centre. */
  public DataCentreId dataCentre() {
    return new DataCentreId(values.get(Setting.DATA_CENTRE));
  }

  /** Returns this process's host. */
  public HostId host() {
    return new HostId(values.get(Setting.HOST));
  }

  /** Returns the address that all ports listen on. */
  public String listenAddress() {
    return values.get(Setting.LISTEN_ADDRESS);
  }

  /** Returns the port for callers; 0 selects a free port. */
  public int callerPort() {
    return Math.toIntExact(number(Setting.CALLER_PORT));
  }

  /** Returns the port for operators; 0 selects a free port. */
  public int operatorPort() {
    return Math.toIntExact(number(Setting.OPERATOR_PORT));
  }

  /** Returns the port for other daemons; 0 selects a free port. */
  public int peerPort() {
    return Math.toIntExact(number(Setting.PEER_PORT));
  }

  /** Returns the address of the platform's object API. */
  public InetSocketAddress platform() {
    return platform;
  }

  /** Returns the other daemons to connect to. */
  public List<PeerAddress> peers() {
    return peers;
  }

  /** Returns the format of log lines. */
  public LogFormat logFormat() {
    return LogFormat.valueOf(values.get(Setting.LOG_FORMAT).toUpperCase(Locale.ROOT));
  }

  /** Returns the weights of the placement of adapters. */
  public PlacementWeights placementWeights() {
    return values.get(Setting.PLACEMENT_PREFERENCE).equals("batches")
        ? PlacementWeights.BATCHES
        : PlacementWeights.STALLS;
  }

  /** Returns the placement policy for adapters. */
  public PlacementPolicy placementPolicy() {
    return PlacementPolicy.valueOf(values.get(Setting.PLACEMENT_POLICY).toUpperCase(Locale.ROOT));
  }

  /** Returns the duration of the lease after its last renewal, in milliseconds. */
  public long leaseDurationMs() {
    return number(Setting.LEASE_DURATION_MS);
  }

  /** Returns how long before its lease expires a daemon stops sending orders, in milliseconds. */
  public long leaseMarginMs() {
    return number(Setting.LEASE_MARGIN_MS);
  }

  /** Returns the heartbeat interval, in milliseconds. */
  public long heartbeatIntervalMs() {
    return number(Setting.HEARTBEAT_INTERVAL_MS);
  }

  /** Returns the deadline of a request that sets none, in milliseconds from its arrival. */
  public long requestDeadlineMs() {
    return number(Setting.REQUEST_DEADLINE_MS);
  }

  /** Returns the number of retries allowed per hundred first attempts. */
  public int retryBudgetPercent() {
    return Math.toIntExact(number(Setting.RETRY_BUDGET_PERCENT));
  }

  /** Returns the queue limits under the ordinary preset, or empty if admission control is off. */
  public Optional<AdmissionSettings> admission() {
    if (!Boolean.parseBoolean(values.get(Setting.ADMISSION))) {
      return Optional.empty();
    }
    return Optional.of(
        AdmissionSettings.DEFAULT.withBounds(
            Math.toIntExact(number(Setting.MAX_QUEUED)),
            Math.toIntExact(number(Setting.MAX_QUEUED_PER_SERVICE))));
  }

  /** Returns the retention period of idempotency keys, in milliseconds. */
  public long ledgerRetentionMs() {
    return number(Setting.LEDGER_RETENTION_MS);
  }

  /** Returns whether the operators declare that no earlier fleet has recorded idempotency keys. */
  public boolean ledgerFirstInstall() {
    return Boolean.parseBoolean(values.get(Setting.LEDGER_FIRST_INSTALL));
  }

  /** Returns the maximum size of a request body, in bytes. */
  public int maxBodyBytes() {
    return Math.toIntExact(number(Setting.MAX_BODY_BYTES));
  }

  /** Returns the capacity of the timeline, in events. */
  public int timelineEvents() {
    return Math.toIntExact(number(Setting.TIMELINE_EVENTS));
  }

  /** Returns how long a planned stop waits for requests in flight, in milliseconds. */
  public long drainLimitMs() {
    return number(Setting.DRAIN_LIMIT_MS);
  }

  /** Returns the number of event loops and shards. */
  public int threads() {
    return Math.toIntExact(number(Setting.THREADS));
  }
}
