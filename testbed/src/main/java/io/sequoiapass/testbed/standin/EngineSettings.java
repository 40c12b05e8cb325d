package io.sequoiapass.testbed.standin;

import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;
import java.net.InetSocketAddress;

/**
 * Holds the settings of the engine's stand-in.
 *
 * @param id the endpoint's name
 * @param weights where the weight store listens
 * @param slots adapters held at once
 * @param maxStreams streams in one step
 * @param maxQueue streams that wait for a place in the batch
 * @param baseMicros a step's cost before any stream, in microseconds
 * @param streamMicros a step's cost for each stream, in microseconds
 * @param adapterMicros a step's cost for each distinct adapter, in microseconds
 * @param prefixes prompt prefixes held in the cache
 * @param checksFence whether orders with an old fencing number are refused
 * @param keepMs how long a stream stays after its reader left
 * @param loadLagMs how old the load report may be
 * @param eventLagMs how late cache events are
 * @param eventLoss which part of the cache events is never reported
 * @param seed seed of lost events and failed loads
 */
record EngineSettings(
    String id,
    InetSocketAddress weights,
    int slots,
    int maxStreams,
    int maxQueue,
    int baseMicros,
    int streamMicros,
    int adapterMicros,
    int prefixes,
    boolean checksFence,
    int keepMs,
    int loadLagMs,
    int eventLagMs,
    double eventLoss,
    long seed) {

  static Flags.Definition define(Flags.Definition definition) {
    return definition
        .flag("id", "engine", "the endpoint's name")
        .flag("weights", "127.0.0.1:1", "host:port of the weight store")
        .flag("slots", "4", "adapters held at once")
        .flag("max-streams", "16", "streams in one step")
        .flag("max-queue", "64", "streams that wait for a place in the batch")
        .flag("base-micros", "4000", "a step's cost before any stream; a step takes 5 ms at least")
        .flag("stream-micros", "100", "a step's cost for each stream")
        .flag("adapter-micros", "400", "a step's cost for each distinct adapter")
        .flag("prefixes", "256", "prompt prefixes held in the cache")
        .flag("checks-fence", "true", "whether orders with an old fencing number are refused")
        .flag("keep-ms", "10000", "how long a stream stays after its reader left")
        .flag("load-lag-ms", "200", "how old the load report may be")
        .flag("event-lag-ms", "500", "how late cache events are")
        .flag("event-loss", "0.1", "which part of the cache events is never reported")
        .flag("seed", "1", "seed of lost events and failed loads");
  }

  static EngineSettings of(Flags flags) throws UsageException {
    return new EngineSettings(
        flags.text("id"),
        Addresses.parse("weights", flags.text("weights")),
        flags.integer("slots", 1, 10_000),
        flags.integer("max-streams", 1, 10_000),
        flags.integer("max-queue", 0, 100_000),
        flags.integer("base-micros", 0, 10_000_000),
        flags.integer("stream-micros", 0, 1_000_000),
        flags.integer("adapter-micros", 0, 1_000_000),
        flags.integer("prefixes", 0, 1_000_000),
        flags.bool("checks-fence"),
        flags.integer("keep-ms", 0, 600_000),
        flags.integer("load-lag-ms", 1, 600_000),
        flags.integer("event-lag-ms", 0, 600_000),
        flags.decimal("event-loss", 0, 1),
        flags.integer("seed", 0, Integer.MAX_VALUE));
  }
}
