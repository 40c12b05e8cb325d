package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.request.CallerRequest;
import java.util.List;

/** Spreads requests over shards by their ids; safe for use by several threads. */
public final class Entries {

  private final List<EntryShard> shards;

  /**
   * Makes a spread.
   *
   * @param shards the shards
   */
  public Entries(List<EntryShard> shards) {
    this.shards = List.copyOf(shards);
  }

  /**
   * Takes a request.
   *
   * @param request the request
   * @param snapshot the configuration that it was read against
   * @param responder the caller's connection
   */
  public void accept(
      CallerRequest request, ConfigurationSnapshot snapshot, HttpResponder responder) {
    shard(request.id()).accept(request, snapshot, responder);
  }

  /**
   * Takes a frame from an owner.
   *
   * @param channel where it came from
   * @param message the frame
   */
  public void received(PeerChannel channel, PeerMessage.OfAttempt message) {
    EntryShard shard = shard(message.id().request());
    if (message instanceof PeerMessage.MayStart && !shard.has(message.id().request())) {
      // The request has ended: its caller was told an outcome that a start now would belie. The
      // owner holds a place for it until it hears, so silence would waste that place.
      channel.send(new PeerMessage.StartAnswer(message.id(), false));
      return;
    }
    shard.received(message);
  }

  /**
   * Takes that the connection to an owner has closed.
   *
   * @param channel the connection
   */
  public void ownerLost(PeerChannel channel) {
    shards.forEach(shard -> shard.ownerLost(channel));
  }

  /** Lets time pass; to be called every 10 to 50 ms. */
  public void tick() {
    shards.forEach(EntryShard::tick);
  }

  /** Returns the number of requests under way. */
  public int size() {
    return shards.stream().mapToInt(EntryShard::size).sum();
  }

  private EntryShard shard(RequestId id) {
    return shards.get(Math.floorMod(id.hashCode(), shards.size()));
  }
}
