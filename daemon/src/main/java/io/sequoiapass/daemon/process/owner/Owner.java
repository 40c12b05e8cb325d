package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.EndpointType;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.connection.SocketAddresses;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerListener;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.process.placement.PlacementWeights;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * Owner role of this daemon: takes attempts from entries and distributes them over one shard per
 * base model and the pool of plain services.
 *
 * <p>Safe for use by several threads.
 */
public final class Owner implements PeerListener {

  private final Supplier<OwnerShard> newShard;
  private final ServicePool services;
  private final Map<ModelId, OwnerShard> shards = new ConcurrentHashMap<>();
  private final Map<EndpointId, EndpointRecord> owned = new HashMap<>();

  /**
   * Creates an owner without endpoints.
   *
   * @param newShard creates the shard of a base model
   * @param services runs calls to plain services
   */
  public Owner(Supplier<OwnerShard> newShard, ServicePool services) {
    this.newShard = Objects.requireNonNull(newShard, "newShard");
    this.services = Objects.requireNonNull(services, "services");
  }

  /**
   * Takes over endpoints that are new in the collection, and releases those that are missing from
   * it.
   *
   * @param endpoints all endpoints that this daemon owns
   */
  public synchronized void updateOwned(Collection<EndpointRecord> endpoints) {
    Map<EndpointId, EndpointRecord> wanted = new HashMap<>();
    endpoints.forEach(endpoint -> wanted.put(endpoint.id(), endpoint));
    for (EndpointRecord known : Map.copyOf(owned).values()) {
      if (!wanted.containsKey(known.id())) {
        owned.remove(known.id());
        disown(known);
      }
    }
    for (EndpointRecord endpoint : wanted.values()) {
      if (!endpoint.equals(owned.put(endpoint.id(), endpoint))) {
        own(endpoint);
      }
    }
  }

  /**
   * Starts nothing new on endpoints whose handover is in progress.
   *
   * @param handingOver the endpoints
   */
  public synchronized void updateHandovers(Set<EndpointId> handingOver) {
    for (EndpointRecord endpoint : owned.values()) {
      if (endpoint.type() == EndpointType.ENGINE) {
        shard(endpoint).pause(endpoint.id(), handingOver.contains(endpoint.id()));
      }
    }
  }

  private void own(EndpointRecord endpoint) {
    if (endpoint.type() == EndpointType.SERVICE) {
      services.own(
          endpoint.id(),
          endpoint.service().orElseThrow(),
          SocketAddresses.parse(endpoint.address()),
          endpoint.maxStreams());
      services.drain(endpoint.id(), !endpoint.takesNewWork());
      return;
    }
    OwnerShard shard = shard(endpoint);
    shard.own(
        new OwnedEndpoint(
            endpoint.id(),
            SocketAddresses.parse(endpoint.address()),
            endpoint.model().orElseThrow(),
            endpoint.slots().orElseThrow(),
            endpoint.maxStreams()));
    shard.drain(endpoint.id(), !endpoint.takesNewWork());
  }

  private void disown(EndpointRecord endpoint) {
    if (endpoint.type() == EndpointType.SERVICE) {
      services.disown(endpoint.id());
    } else {
      shard(endpoint).disown(endpoint.id());
    }
  }

  private OwnerShard shard(EndpointRecord endpoint) {
    return shards.computeIfAbsent(endpoint.model().orElseThrow(), model -> newShard.get());
  }

  /**
   * Applies new weights to the placements, after a change of the preset in force.
   *
   * @param weights the new weights
   * @param prefetches whether adapters that no request waits for may be loaded
   */
  public synchronized void updateWeights(PlacementWeights weights, boolean prefetches) {
    shards.values().forEach(shard -> shard.updateWeights(weights, prefetches));
  }

  /** Advances the time; to be called every 10 to 50 ms. */
  public void tick() {
    services.tick();
    shards.values().forEach(OwnerShard::tick);
  }

  /**
   * Applies the limits of a preset.
   *
   * @param preset the preset in force
   */
  public void apply(Preset preset) {
    services.apply(preset);
    shards.values().forEach(shard -> shard.apply(preset));
  }

  /** Returns the number of attempts that wait for admission. */
  public int waiting() {
    return services.waiting() + shards.values().stream().mapToInt(OwnerShard::waiting).sum();
  }

  /** Returns the number of attempts in progress. */
  public int size() {
    return services.size() + shards.values().stream().mapToInt(OwnerShard::size).sum();
  }

  @Override
  public void opened(PeerChannel channel) {
    // Nothing to do before the entry sends an attempt.
  }

  @Override
  public void received(PeerChannel channel, PeerMessage message) {
    if (message instanceof PeerMessage.Forward forward) {
      submit(forward, channel);
    } else if (message instanceof PeerMessage.StartAnswer answer) {
      services.startDecided(answer);
      shards.values().forEach(shard -> shard.startDecided(answer));
    } else if (message instanceof PeerMessage.Cancel cancel) {
      services.cancel(cancel.id());
      shards.values().forEach(shard -> shard.cancel(cancel.id()));
    } else if (message instanceof PeerMessage.Flow flow) {
      shards.values().forEach(shard -> shard.flow(flow));
    }
  }

  private void submit(PeerMessage.Forward forward, PeerChannel channel) {
    if (forward.work() instanceof ForwardedWork.Completion completion) {
      OwnerShard shard = shards.get(completion.model());
      if (shard != null) {
        shard.submit(forward, channel);
      } else {
        // The entry received the update of a takeover before this daemon applied it.
        channel.send(new PeerMessage.Refused(forward.id(), ErrorKind.DRAINING, false, 0));
      }
    } else {
      services.submit(forward, channel);
    }
  }

  @Override
  public void writabilityChanged(PeerChannel channel) {
    shards.values().forEach(shard -> shard.writabilityChanged(channel));
  }

  @Override
  public void closed(PeerChannel channel) {
    services.entryDisconnected(channel);
    shards.values().forEach(shard -> shard.entryDisconnected(channel));
  }
}
