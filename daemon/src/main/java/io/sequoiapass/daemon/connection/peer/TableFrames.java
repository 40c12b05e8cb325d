package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.OwnershipDelta;
import io.sequoiapass.coordination.process.OwnershipTable;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.msgpack.core.MessagePacker;

/** Writes and reads the frames that carry complete ownership tables or deltas. */
final class TableFrames {

  /**
   * Encodes an incarnation that is unchanged from the base version; incarnations are never
   * negative.
   */
  private static final long SAME_INCARNATION = -1;

  private TableFrames() {}

  static void writeTable(MessagePacker out, PeerMessage.TablePush push) throws IOException {
    OwnershipTable table = push.table();
    out.packString(push.dataCentre().value());
    out.packLong(table.version());
    out.packLong(table.epoch());
    writeShares(out, table.owners(), table.incarnations());
  }

  static PeerMessage readTable(FrameReader in) throws IOException, PeerFrameException {
    DataCentreId dataCentre = new DataCentreId(in.text());
    long version = in.longNumber();
    long epoch = in.longNumber();
    Shares shares = readShares(in);
    return new PeerMessage.TablePush(
        dataCentre, OwnershipTable.of(version, epoch, shares.owners, shares.incarnations));
  }

  static void writeDelta(MessagePacker out, PeerMessage.TableDelta push) throws IOException {
    OwnershipDelta delta = push.delta();
    out.packString(push.dataCentre().value());
    out.packLong(delta.baseVersion());
    out.packLong(delta.version());
    out.packLong(delta.epoch());
    writeShares(out, delta.changed(), delta.incarnations());
    writeEndpoints(out, delta.removed());
  }

  static PeerMessage readDelta(FrameReader in) throws IOException, PeerFrameException {
    DataCentreId dataCentre = new DataCentreId(in.text());
    long baseVersion = in.longNumber();
    long version = in.longNumber();
    long epoch = in.longNumber();
    Shares shares = readShares(in);
    Set<EndpointId> removed = new TreeSet<>(readEndpoints(in));
    return new PeerMessage.TableDelta(
        dataCentre,
        new OwnershipDelta(
            baseVersion, version, epoch, shares.owners, removed, shares.incarnations));
  }

  /** Writes each daemon once with its endpoints, since the daemon names take most of the space. */
  private static void writeShares(
      MessagePacker out, Map<EndpointId, DaemonId> owners, Map<DaemonId, Long> incarnations)
      throws IOException {
    Map<DaemonId, Set<EndpointId>> shares = new TreeMap<>();
    incarnations.keySet().forEach(daemon -> shares.put(daemon, new TreeSet<>()));
    owners.forEach(
        (endpoint, daemon) ->
            shares.computeIfAbsent(daemon, named -> new TreeSet<>()).add(endpoint));
    out.packArrayHeader(shares.size());
    for (Map.Entry<DaemonId, Set<EndpointId>> share : shares.entrySet()) {
      out.packString(share.getKey().value());
      out.packLong(incarnations.getOrDefault(share.getKey(), SAME_INCARNATION));
      writeEndpoints(out, share.getValue());
    }
  }

  private static Shares readShares(FrameReader in) throws IOException, PeerFrameException {
    Shares shares = new Shares(new TreeMap<>(), new TreeMap<>());
    for (Share share : in.list(TableFrames::readShare)) {
      if (share.incarnation != SAME_INCARNATION) {
        shares.incarnations.put(share.daemon, share.incarnation);
      }
      share.endpoints.forEach(endpoint -> shares.owners.put(endpoint, share.daemon));
    }
    return shares;
  }

  private static Share readShare(FrameReader in) throws IOException, PeerFrameException {
    return new Share(new DaemonId(in.text()), in.longNumber(), readEndpoints(in));
  }

  private static void writeEndpoints(MessagePacker out, Collection<EndpointId> endpoints)
      throws IOException {
    out.packArrayHeader(endpoints.size());
    for (EndpointId endpoint : endpoints) {
      out.packString(endpoint.value());
    }
  }

  private static List<EndpointId> readEndpoints(FrameReader in)
      throws IOException, PeerFrameException {
    return in.list(element -> new EndpointId(element.text()));
  }

  /** Endpoints of one daemon: all that it owns in a table, or those that it gained in a delta. */
  private record Share(DaemonId daemon, long incarnation, List<EndpointId> endpoints) {}

  /** Endpoints of all daemons: all that they own in a table, or those gained in a delta. */
  private record Shares(Map<EndpointId, DaemonId> owners, Map<DaemonId, Long> incarnations) {}
}
