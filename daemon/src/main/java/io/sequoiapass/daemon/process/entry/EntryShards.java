package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.request.CallerRequest;
import java.util.List;

/** Distributes requests over shards by request id; safe for use by several threads. */
public final class EntryShards {

  private final List<EntryShard> shards;

  /**
   * Creates a distributor over shards.
   *
   * @param shards the shards
   */
  public EntryShards(List<EntryShard> shards) {
    this.shards = List.copyOf(shards);
  }

  /**
   * Accepts a request.
   *
   * @param request the request
   * @param snapshot the configuration that it was parsed against
   * @param responder the caller's connection
   */
  public void accept(
      CallerRequest request, ConfigurationSnapshot snapshot, HttpResponder responder) {
    shard(request.id()).accept(request, snapshot, responder);
  }

  /**
   * Handles a frame from an owner.
   *
   * @param channel the connection to the owner
   * @param message the frame
   */
  public void received(PeerChannel channel, PeerMessage.OfAttempt message) {
    EntryShard shard = shard(message.id().request());
    if (message instanceof PeerMessage.MayStart && !shard.contains(message.id().request())) {
      // The request has ended, and a start would contradict the outcome sent to its caller. Without
      // a reply the owner would keep a stream slot reserved for it.
      channel.send(new PeerMessage.StartAnswer(message.id(), false));
      return;
    }
    shard.received(message);
  }

  /**
   * Handles the loss of the connection to an owner.
   *
   * @param channel the connection
   */
  public void ownerLost(PeerChannel channel) {
    shards.forEach(shard -> shard.ownerLost(channel));
  }

  /** Runs due timers; to be called every 10 to 50 ms. */
  public void tick() {
    shards.forEach(EntryShard::tick);
  }

  /** Returns the number of requests in flight. */
  public int size() {
    return shards.stream().mapToInt(EntryShard::size).sum();
  }

  private EntryShard shard(RequestId id) {
    return shards.get(Math.floorMod(id.hashCode(), shards.size()));
  }
}
