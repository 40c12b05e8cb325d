package io.sequoiapass.gateway.process;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.StreamRecord;
import io.sequoiapass.gateway.connection.StreamRecordChannel;
import io.sequoiapass.gateway.version.StreamVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Sends each stream to other daemons before its first event reaches the caller, so that a caller
 * whose stream is cut by the end of this process can resume it, however short it is. Datagrams are
 * used, since their bytes are few and nothing waits for a response; what is lost of them follows
 * with the next batch of {@link StreamReplication}.
 *
 * <p>Streams of a service with one software version are not sent, as {@link SoleVersion} finds it.
 *
 * <p>Safe for use by several threads.
 */
final class StreamRecords {

  private static final String TASK = "stream record";

  private final StreamVersions versions;
  private final Supplier<List<LinkMessage.Member>> keepers;
  private final Predicate<ServiceId> hasSeveralVersions;
  private final StreamVersionKeys keys;
  private final TaskGuard guard;
  private final GatewayMetrics metrics;

  /**
   * Creates records that are neither sent nor received until {@link #start}.
   *
   * @param versions the streams
   * @param keepers returns the daemons that get a stream
   * @param hasSeveralVersions returns whether a service has several software versions
   * @param keys finds the versions that other daemons state
   * @param guard records exceptions
   * @param metrics counts the records
   */
  StreamRecords(
      StreamVersions versions,
      Supplier<List<LinkMessage.Member>> keepers,
      Predicate<ServiceId> hasSeveralVersions,
      StreamVersionKeys keys,
      TaskGuard guard,
      GatewayMetrics metrics) {
    this.versions = versions;
    this.keepers = keepers;
    this.hasSeveralVersions = hasSeveralVersions;
    this.keys = keys;
    this.guard = guard;
    this.metrics = metrics;
  }

  /**
   * Starts to send and to receive.
   *
   * @param loops the event loops
   * @param address where the other daemons send to
   * @throws IOException if the address cannot be bound
   */
  void start(EventLoopGroup loops, InetSocketAddress address) throws IOException {
    StreamRecordChannel channel =
        StreamRecordChannel.open(
            loops,
            address,
            record -> guard.run(TASK, () -> received(record)),
            cause -> guard.failed(TASK, cause));
    versions.onBegun(stream -> guard.run(TASK, () -> send(channel, stream)));
  }

  private void send(StreamRecordChannel channel, StreamVersions.OwnStream stream) {
    if (!hasSeveralVersions.test(stream.version().service())) {
      return;
    }
    StreamRecord record = new StreamRecord(stream.key(), StreamRecord.versionKey(stream.version()));
    for (LinkMessage.Member keeper : keepers.get()) {
      channel.send(record, keeper.address());
      count("sent");
    }
  }

  private void received(StreamRecord record) {
    Optional<StreamVersion> version = keys.find(record.version());
    version.ifPresent(known -> versions.learned(record.stream(), known));
    count(version.isPresent() ? "received" : "unknown");
  }

  private void count(String result) {
    metrics.count("sequoiapass_stream_records_total{result=\"" + result + "\"}");
  }
}
