package io.sequoiapass.daemon.process.settings;

import java.util.Locale;

/**
 * Lists every setting of the entry daemon; docs/SETTINGS.md is generated from it.
 *
 * <p>Each has a flag and an environment variable; the flag wins where both are given.
 */
enum Setting {
  ID(
      SettingType.NAME,
      null,
      "this daemon's name in the fleet",
      "a restarted daemon keeps its name, so that its lease and its endpoints are its own again"),
  DATA_CENTRE(
      SettingType.NAME,
      null,
      "the data centre this process runs in",
      "a process learns its place from its settings; ownership is kept for each data centre"),
  HOST(
      SettingType.NAME,
      null,
      "the host this process runs on",
      "matched against the platform's list of live and leaving hosts"),
  LISTEN_ADDRESS(
      SettingType.LISTEN_ADDRESS,
      "127.0.0.1",
      "the address that all three ports listen on",
      "loopback until an operator names an address, so that no port is opened by accident"),
  CALLER_PORT(0, 65_535, "8080", "", "port for callers; 0 takes any free one", "HTTP's usual port"),
  OPERATOR_PORT(
      0,
      65_535,
      "8081",
      "",
      "port for operators; 0 takes any free one",
      "apart from the callers' port, so that a firewall can tell them apart"),
  PEER_PORT(
      0,
      65_535,
      "8082",
      "",
      "port for other daemons; 0 takes any free one",
      "apart from the callers' port, so that their load cannot keep peers from connecting"),
  PLATFORM(
      SettingType.ADDRESS,
      null,
      "address of the platform's object API",
      "all that must last lives there; a daemon keeps nothing itself"),
  PEERS(
      SettingType.PEERS,
      "",
      "other daemons to connect to",
      "learnt from leases as well; settings reach them while the platform is out"),
  LOG_FORMAT(
      SettingType.LOG_FORMAT,
      "text",
      "format of log lines on standard error",
      "text for people, json for log collectors"),
  PLACEMENT_PREFERENCE(
      SettingType.PREFERENCE,
      "stalls",
      "what the placement of adapters weighs more heavily",
      "stalls where callers stand and wait, batches where long work is billed"),
  PLACEMENT_POLICY(
      SettingType.POLICY,
      "adaptive",
      "how adapters are placed on engines",
      "lru is the baseline that measurements compare with; it loads more and waits longer"),
  LEASE_DURATION_MS(
      500,
      60_000,
      "3000",
      "ms",
      "how long the lease lasts after its last renewal",
      "how long endpoints of a dead daemon wait for the next owner; shorter costs writes:"
          + " 400 daemons at a renewal a second are 400 writes a second"),
  LEASE_MARGIN_MS(
      10,
      30_000,
      "500",
      "ms",
      "how long before its lease lapses a daemon stops giving orders",
      "covers a pause between the check and the write, and drift between two clocks;"
          + " less than half of --lease-duration-ms"),
  HEARTBEAT_INTERVAL_MS(
      50,
      10_000,
      "500",
      "ms",
      "how often a daemon sends a heartbeat to its peers",
      "a lost peer is noticed after a few of them; at most a third of --lease-duration-ms, so that"
          + " two may be lost"),
  REQUEST_DEADLINE_MS(
      100,
      600_000,
      "30000",
      "ms",
      "deadline of a request that names none",
      "longer than an ordinary answer; what has been given up on is answered, not held"),
  RETRY_BUDGET_PERCENT(
      0,
      100,
      "10",
      "%",
      "retries allowed for each hundred first attempts",
      "retries under an overload multiply it; one in ten covers the loss of a few endpoints"),
  ADMISSION(
      SettingType.SWITCH,
      "true",
      "whether requests that cannot be served in time are refused at once",
      "only measurements switch it off, to show what it does; without it an overload is served late"),
  MAX_QUEUED(
      1,
      100_000,
      "512",
      "requests",
      "requests that wait at an owner for engines of one model, or for one plain service's endpoint",
      "bounds memory and the longest wait; a preset scales it; some 8 s at 65 requests a second"),
  MAX_QUEUED_PER_SERVICE(
      1,
      100_000,
      "128",
      "requests",
      "requests of one service and priority among those that wait",
      "a service that floods fills its own part and no more; at most --max-queued"),
  LEDGER_RETENTION_MS(
      60_000,
      86_400_000,
      "600000",
      "ms",
      "how long an idempotency key is remembered",
      "longer than any caller goes on trying; a request with a key may have a deadline of half of"
          + " it; a fleet whose daemons all start anew refuses keyed work for this long"),
  LEDGER_FIRST_INSTALL(
      SettingType.SWITCH,
      "false",
      "says that no earlier fleet kept keys, so that keyed work is served at once",
      "holds only for the daemon that creates the ledger's membership on the platform, and is"
          + " ignored once there is one; wrong only if the platform's data was lost"),
  MAX_BODY_BYTES(
      1_024,
      16_777_216,
      "1048576",
      "bytes",
      "largest body of a request",
      "a prompt fits many times over; bounds what one caller can make a daemon hold"),
  TIMELINE_EVENTS(
      64,
      1_000_000,
      "20000",
      "events",
      "how many events the time line holds",
      "about a minute at 65 requests a second and a few events each, in 7 MB as measured with full events"),
  DRAIN_LIMIT_MS(
      2_500,
      3_600_000,
      "60000",
      "ms",
      "how long a planned stop waits for requests under way",
      "longer than the default deadline of a request, so that a planned stop cuts none off; at"
          + " least what a balancer needs to see that the daemon leaves"),
  THREADS(
      1,
      256,
      "4",
      "threads",
      "event loops, and shards of state",
      "each shard has its own lock; more than the cores of a small entry host gain nothing");

  private final SettingType type;
  private final long minimum;
  private final long maximum;
  private final String defaultValue;
  private final String unit;
  private final String meaning;
  private final String reason;

  Setting(SettingType type, String defaultValue, String meaning, String reason) {
    this.type = type;
    this.minimum = 0;
    this.maximum = 0;
    this.defaultValue = defaultValue;
    this.unit = "";
    this.meaning = meaning;
    this.reason = reason;
  }

  Setting(
      long minimum, long maximum, String defaultValue, String unit, String meaning, String reason) {
    this.type = SettingType.NUMBER;
    this.minimum = minimum;
    this.maximum = maximum;
    this.defaultValue = defaultValue;
    this.unit = unit;
    this.meaning = meaning;
    this.reason = reason;
  }

  /** Returns the long flag without its dashes. */
  String option() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the flag as written on a command line. */
  String flag() {
    return "--" + option();
  }

  /** Returns the environment variable. */
  String variable() {
    return "SEQUOIAPASS_" + name();
  }

  /** Returns flag and environment variable, for messages. */
  String names() {
    return flag() + " (" + variable() + ")";
  }

  /** Returns the default, or null where the setting has to be given. */
  String defaultValue() {
    return defaultValue;
  }

  long minimum() {
    return minimum;
  }

  long maximum() {
    return maximum;
  }

  String unitSuffix() {
    return unit.isEmpty() ? "" : " " + unit;
  }

  String meaning() {
    return meaning;
  }

  String reason() {
    return reason;
  }

  String allowed() {
    return type.allowed(this);
  }

  void check(String text) throws SettingsException {
    type.check(this, text);
  }
}
