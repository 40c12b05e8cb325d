package io.sequoiapass.daemon.process.settings;

import java.util.Locale;

/**
 * Settings of the entry daemon; docs/SETTINGS.md is generated from this list.
 *
 * <p>Each setting has a flag and an environment variable; the flag takes precedence.
 */
enum Setting {
  ID(
      SettingType.NAME,
      null,
      "this daemon's name in the fleet",
      "a restarted daemon keeps its name, so that it gets its lease and endpoints back"),
  DATA_CENTRE(
      SettingType.NAME,
      null,
      "the data centre this process runs in",
      "a process gets its location from its settings; ownership is managed per data centre"),
  HOST(
      SettingType.NAME,
      null,
      "the host this process runs on",
      "matched against the platform's list of live and leaving hosts"),
  LISTEN_ADDRESS(
      SettingType.LISTEN_ADDRESS,
      "127.0.0.1",
      "the address that all three ports listen on",
      "loopback by default, so that no port is exposed by accident"),
  CALLER_PORT(
      0, 65_535, "8080", "", "port for callers; 0 selects a free port", "HTTP's usual port"),
  OPERATOR_PORT(
      0,
      65_535,
      "8081",
      "",
      "port for operators; 0 selects a free port",
      "separate from the callers' port, so that a firewall can distinguish them"),
  PEER_PORT(
      0,
      65_535,
      "8082",
      "",
      "port for other daemons; 0 selects a free port",
      "separate from the callers' port, so that callers' load cannot keep peers from connecting"),
  PLATFORM(
      SettingType.ADDRESS,
      null,
      "address of the platform's object API",
      "all durable state is stored there; a daemon persists nothing itself"),
  PEERS(
      SettingType.PEERS,
      "",
      "other daemons to connect to",
      "peers are also discovered from leases; the setting works during an outage of the platform"),
  LOG_FORMAT(
      SettingType.LOG_FORMAT,
      "text",
      "format of log lines on standard error",
      "text for human readers, json for log collectors"),
  PLACEMENT_PREFERENCE(
      SettingType.PREFERENCE,
      "stalls",
      "what the placement of adapters weighs more heavily",
      "stalls for interactive callers, batches where long work is billed"),
  PLACEMENT_POLICY(
      SettingType.POLICY,
      "adaptive",
      "how adapters are placed on engines",
      "lru is a baseline for comparison; it loads more often and waits longer"),
  LEASE_DURATION_MS(
      500,
      60_000,
      "3000",
      "ms",
      "duration of the lease after its last renewal",
      "endpoints of a dead daemon wait this long for a new owner; shorter costs writes:"
          + " 400 daemons at one renewal a second make 400 writes a second"),
  LEASE_MARGIN_MS(
      10,
      30_000,
      "500",
      "ms",
      "how long before its lease expires a daemon stops sending orders",
      "covers a pause between the check and the write, and clock drift between hosts;"
          + " less than half of --lease-duration-ms"),
  HEARTBEAT_INTERVAL_MS(
      50,
      10_000,
      "500",
      "ms",
      "interval between a daemon's heartbeats to its peers",
      "a lost peer is detected after a few missed ones; at most a third of --lease-duration-ms, so that"
          + " two may be lost"),
  REQUEST_DEADLINE_MS(
      100,
      600_000,
      "30000",
      "ms",
      "deadline of a request that sets none",
      "longer than an ordinary answer takes; a request past its deadline is answered, not held"),
  RETRY_BUDGET_PERCENT(
      0,
      100,
      "10",
      "%",
      "retries allowed per hundred first attempts",
      "retries amplify an overload; one in ten covers the loss of a few endpoints"),
  ADMISSION(
      SettingType.SWITCH,
      "true",
      "whether requests that cannot be served in time are refused at once",
      "to be switched off only for comparison; without it, requests are served late under overload"),
  MAX_QUEUED(
      1,
      100_000,
      "512",
      "requests",
      "requests that wait at an owner for engines of one model, or for one plain service's endpoint",
      "bounds memory and the longest wait; scaled by the preset; about 8 s at 65 requests a second"),
  MAX_QUEUED_PER_SERVICE(
      1,
      100_000,
      "128",
      "requests",
      "waiting requests of one service and priority",
      "a service that floods fills only its own share of the queue; at most --max-queued"),
  LEDGER_RETENTION_MS(
      60_000,
      86_400_000,
      "600000",
      "ms",
      "retention period of idempotency keys",
      "longer than any caller keeps retrying; a request with a key may have a deadline of half of"
          + " it; after a restart of all daemons, the fleet refuses keyed work for this long"),
  LEDGER_FIRST_INSTALL(
      SettingType.SWITCH,
      "false",
      "declares that no earlier fleet recorded keys, so that keyed work is served immediately",
      "applies only to the daemon that creates the ledger's membership on the platform, and is"
          + " ignored once the membership exists; unsafe only if the platform's data was lost"),
  MAX_BODY_BYTES(
      1_024,
      16_777_216,
      "1048576",
      "bytes",
      "maximum size of a request body",
      "many times the size of a prompt; bounds the memory that one caller can occupy"),
  TIMELINE_EVENTS(
      64,
      1_000_000,
      "20000",
      "events",
      "capacity of the timeline",
      "about a minute at 65 requests a second with a few events each; 7 MB with events of full size"),
  DRAIN_LIMIT_MS(
      2_500,
      3_600_000,
      "60000",
      "ms",
      "how long a planned stop waits for requests in flight",
      "longer than the default request deadline, so that a planned stop cuts no request off; at"
          + " least the time a load balancer needs to take the daemon out of rotation"),
  THREADS(
      1,
      256,
      "4",
      "threads",
      "event loops and shards of state",
      "each shard has its own lock; more threads than the cores of a small entry host gain nothing");

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

  /** Returns the long flag without its leading dashes. */
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

  /** Returns the flag and the environment variable, for error messages. */
  String names() {
    return flag() + " (" + variable() + ")";
  }

  /** Returns the default, or null if the setting is required. */
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
