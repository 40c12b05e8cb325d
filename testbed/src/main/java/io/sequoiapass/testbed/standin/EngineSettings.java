package io.sequoiapass.testbed.standin;

import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;
import java.net.InetSocketAddress;

/**
 * Settings of the engine stand-in.
 *
 * @param id the endpoint's name
 * @param weights address of the weight store
 * @param slots adapter slots
 * @param maxStreams maximum streams in one step
 * @param maxQueue maximum streams queued for the batch
 * @param baseMicros fixed cost of a step, in microseconds
 * @param streamMicros cost of a step for each stream, in microseconds
 * @param adapterMicros cost of a step for each distinct adapter, in microseconds
 * @param prefixes capacity of the prefix cache, in prompt prefixes
 * @param checksFence whether orders with an outdated fencing number are rejected
 * @param keepMs retention of a stream without a reader, in milliseconds
 * @param loadLagMs maximum age of the load report, in milliseconds
 * @param eventLagMs delay of cache events, in milliseconds
 * @param eventLoss fraction of cache events that are lost
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
        .flag("slots", "4", "adapter slots")
        .flag("max-streams", "16", "maximum streams in one step")
        .flag("max-queue", "64", "maximum streams queued for the batch")
        .flag("base-micros", "4000", "fixed cost of a step; a step takes at least 5 ms")
        .flag("stream-micros", "100", "cost of a step for each stream")
        .flag("adapter-micros", "400", "cost of a step for each distinct adapter")
        .flag("prefixes", "256", "capacity of the prefix cache, in prompt prefixes")
        .flag("checks-fence", "true", "whether orders with an outdated fencing number are rejected")
        .flag("keep-ms", "10000", "retention of a stream without a reader")
        .flag("load-lag-ms", "200", "maximum age of the load report")
        .flag("event-lag-ms", "500", "delay of cache events")
        .flag("event-loss", "0.1", "fraction of cache events that are lost")
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
