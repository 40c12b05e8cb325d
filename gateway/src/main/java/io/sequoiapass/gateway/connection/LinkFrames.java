package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.WorkspaceShare;
import io.sequoiapass.coordination.process.WorkspaceUsage;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.process.EndpointUsage;
import io.sequoiapass.gateway.process.Load;
import io.sequoiapass.gateway.process.LoadTimeEstimates;
import io.sequoiapass.gateway.version.AdapterName;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the messages between daemons.
 *
 * <pre>{@code
 * byte[] frame = LinkFrames.encode(new LinkMessage.Hello(daemon, dataCentre, revision));
 * LinkMessage message = LinkFrames.decode(frame);
 * }</pre>
 *
 * <p>A frame is a MessagePack sequence: the number of the message type, then the record's
 * components in order. Safe for use by several threads.
 */
public final class LinkFrames {

  private static final int HELLO = 1;
  private static final int USAGE_REPORT = 2;
  private static final int LOAD_REQUEST = 3;
  private static final int ADAPTER_MISS = 4;
  private static final int COORDINATOR_STATUS = 5;
  private static final int PLACEMENTS = 6;
  private static final int LOADS = 7;
  private static final int LOAD_REJECTED = 8;
  private static final int ENDPOINTS = 9;
  private static final int RELEASES = 10;
  private static final int PERMIT_REQUEST = 11;
  private static final int PERMIT_REPLY = 12;
  private static final int PEERS = 13;
  private static final int MEMBERS = 14;
  private static final int CRASH_REPORT = 15;
  private static final int PARTS_CLEARED = 16;
  private static final int PART_VERDICTS = 17;

  private LinkFrames() {}

  /** Thrown if bytes are not a frame of this protocol. */
  public static final class FormatException extends Exception {

    private static final long serialVersionUID = 1L;

    FormatException(String message, Throwable cause) {
      super(message, cause);
    }
  }

  /**
   * Encodes a message.
   *
   * @param message the message
   */
  public static byte[] encode(LinkMessage message) {
    return bytes(out -> write(out, message));
  }

  /**
   * Encodes the list of a {@link LinkMessage.Loads}, which is the same for many receivers.
   *
   * @param loads the list
   */
  public static byte[] encodeLoads(List<LinkMessage.EndpointLoad> loads) {
    return bytes(
        out ->
            list(
                out,
                loads,
                (to, load) -> {
                  to.packString(load.endpoint().value());
                  writeLoad(to, load.load());
                }));
  }

  /**
   * Returns the frame of a {@link LinkMessage.Loads}.
   *
   * @param asked the receiver's clocks before the coordinator asked for the configuration
   * @param configurationRevision the configuration's revision
   * @param included the receiver's clocks in the report that the loads contain
   * @param loads the encoded list
   */
  public static byte[] loads(
      Optional<ClockReading> asked,
      long configurationRevision,
      Optional<ClockReading> included,
      byte[] loads) {
    return bytes(
        out -> {
          out.packInt(LOADS);
          writeOptionalClocks(out, asked);
          out.packLong(configurationRevision);
          writeOptionalClocks(out, included);
          out.writePayload(loads);
        });
  }

  /** Writes the parts of one frame. */
  @FunctionalInterface
  interface FrameWriter {
    void write(MessageBufferPacker out) throws IOException;
  }

  /** Returns what a writer writes. */
  static byte[] bytes(FrameWriter writer) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      writer.write(out);
      return out.toByteArray();
    } catch (IOException impossible) {
      throw new UncheckedIOException("a buffer in memory cannot fail", impossible);
    }
  }

  private static void write(MessageBufferPacker out, LinkMessage message) throws IOException {
    if (message instanceof LinkMessage.Hello hello) {
      out.packInt(HELLO);
      out.packString(hello.daemon().value());
      out.packString(hello.dataCentre().value());
      out.packLong(hello.endpointsRevision());
      EntryFrames.writeAddress(out, hello.peers());
    } else if (message instanceof LinkMessage.UsageReport usage) {
      out.packInt(USAGE_REPORT);
      out.packBoolean(usage.coordinator());
      out.packBoolean(usage.servesPeers());
      writeClocks(out, usage.sentAt());
      list(out, usage.usages(), LinkFrames::writeUsage);
      list(out, usage.workspaces(), LinkFrames::writeWorkspaceUsage);
    } else if (message instanceof LinkMessage.LoadRequest request) {
      out.packInt(LOAD_REQUEST);
      writeAdapter(out, request.adapter());
      out.packLong(request.version());
      writeFlow(out, request.flow());
      out.packBoolean(request.another());
      out.packLong(request.promptTokens());
      out.packLong(request.outputTokens());
      out.packLong(request.maxDelayMs());
      out.packLong(request.waitMs());
      out.packLong(request.deadlineMs());
      out.packLong(request.returnKey());
      out.packLong(request.number());
      out.packBoolean(request.copyKnown());
      list(out, request.excluded(), (to, endpoint) -> to.packString(endpoint.value()));
    } else if (message instanceof LinkMessage.AdapterMiss miss) {
      out.packInt(ADAPTER_MISS);
      out.packString(miss.endpoint().value());
      writeAdapter(out, miss.adapter());
      out.packBoolean(miss.early());
    } else if (message instanceof LinkMessage.PermitRequest ask) {
      out.packInt(PERMIT_REQUEST);
      out.packString(ask.endpoint().value());
      out.packDouble(ask.requestsPerS());
      out.packInt(ask.mostAtOnce());
      out.packLong(ask.usefulMs());
    } else {
      writeCoordinatorMessage(out, message);
    }
  }

  private static void writeCoordinatorMessage(MessageBufferPacker out, LinkMessage message)
      throws IOException {
    if (message instanceof LinkMessage.CoordinatorStatus status) {
      out.packInt(COORDINATOR_STATUS);
      writeStatus(out, status);
    } else if (message instanceof LinkMessage.Placements placements) {
      out.packInt(PLACEMENTS);
      out.packBoolean(placements.snapshot());
      list(out, placements.placements(), LinkFrames::writePlacement);
    } else if (message instanceof LinkMessage.Loads loads) {
      out.writePayload(
          loads(
              loads.asked(),
              loads.configurationRevision(),
              loads.included(),
              encodeLoads(loads.loads())));
    } else if (message instanceof LinkMessage.LoadRejected rejected) {
      out.packInt(LOAD_REJECTED);
      writeAdapter(out, rejected.adapter());
      out.packLong(rejected.retryAfterMs());
    } else if (message instanceof LinkMessage.Endpoints endpoints) {
      out.packInt(ENDPOINTS);
      EntryFrames.write(out, endpoints);
    } else if (message instanceof LinkMessage.Releases releases) {
      out.packInt(RELEASES);
      list(
          out,
          releases.releases(),
          (to, release) -> {
            writeAdapter(to, release.adapter());
            to.packLong(release.version());
          });
    } else if (message instanceof LinkMessage.PermitReply reply) {
      out.packInt(PERMIT_REPLY);
      out.packString(reply.endpoint().value());
      out.packString(reply.type().name());
      out.packLong(reply.waitMs());
    } else if (message instanceof LinkMessage.Peers peers) {
      out.packInt(PEERS);
      list(
          out,
          peers.peers(),
          (to, peer) -> {
            to.packString(peer.daemon().value());
            EntryFrames.writeAddress(to, peer.address());
          });
    } else if (message instanceof LinkMessage.Members members) {
      out.packInt(MEMBERS);
      EntryFrames.write(out, members);
    } else {
      writePartMessage(out, message);
    }
  }

  private static void writePartMessage(MessageBufferPacker out, LinkMessage message)
      throws IOException {
    if (message instanceof LinkMessage.CrashReport report) {
      out.packInt(CRASH_REPORT);
      PartFrames.write(out, report);
    } else if (message instanceof LinkMessage.PartsCleared cleared) {
      out.packInt(PARTS_CLEARED);
      PartFrames.write(out, cleared.parts());
    } else if (message instanceof LinkMessage.PartVerdicts verdicts) {
      out.packInt(PART_VERDICTS);
      PartFrames.write(out, verdicts);
    } else if (message instanceof RoomMessage room) {
      RoomFrames.write(out, room);
    } else {
      throw new IllegalArgumentException("no frame for " + message);
    }
  }

  private static void writeStatus(MessageBufferPacker out, LinkMessage.CoordinatorStatus status)
      throws IOException {
    out.packLong(status.epoch());
    out.packLong(status.revision());
    out.packInt(status.daemons());
    out.packBoolean(status.stopping());
    writeView(out, status.configuration());
    writeView(out, status.releases());
    writeView(out, status.endpoints());
    out.packLong(status.loads().storeMs());
    out.packLong(status.loads().memoryMs());
    out.packInt(status.loads().cacheDepth());
    out.packBoolean(status.slotsWanted());
    list(
        out,
        status.workspaces(),
        (to, share) -> {
          to.packString(share.workspace().value());
          to.packDouble(share.share());
        });
    out.packBoolean(status.usageCounted());
    list(
        out,
        status.coordinators(),
        (to, coordinator) -> {
          to.packString(coordinator.dataCentre().value());
          EntryFrames.writeAddress(to, coordinator.address());
        });
  }

  private static void writeOptionalClocks(MessageBufferPacker out, Optional<ClockReading> clocks)
      throws IOException {
    out.packBoolean(clocks.isPresent());
    if (clocks.isPresent()) {
      writeClocks(out, clocks.get());
    }
  }

  private static void writeClocks(MessageBufferPacker out, ClockReading clocks) throws IOException {
    out.packLong(clocks.monotonicMs());
    out.packLong(clocks.wallMs());
  }

  private static void writeWorkspaceUsage(MessageBufferPacker out, WorkspaceUsage usage)
      throws IOException {
    out.packString(usage.workspace().value());
    out.packLong(usage.asked());
    out.packLong(usage.admitted());
  }

  private static void writeView(MessageBufferPacker out, LinkMessage.StoreView view)
      throws IOException {
    out.packLong(view.revision());
    out.packLong(view.ageMs());
  }

  /** Writes one element of a list. */
  @FunctionalInterface
  interface Writer<T> {
    void write(MessageBufferPacker out, T value) throws IOException;
  }

  static <T> void list(MessageBufferPacker out, List<T> values, Writer<T> writer)
      throws IOException {
    out.packArrayHeader(values.size());
    for (T value : values) {
      writer.write(out, value);
    }
  }

  static void writeAdapter(MessageBufferPacker out, AdapterName adapter) throws IOException {
    out.packString(adapter.model().value());
    out.packString(adapter.adapter().value());
  }

  /** Reads a part of a whole, from 0 to 1. */
  static double readShare(MessageUnpacker in) throws IOException {
    double share = in.unpackFloat();
    if (!(share >= 0 && share <= 1)) {
      throw new IOException("not a share: " + share);
    }
    return share;
  }

  static void writeFlow(MessageBufferPacker out, Flow flow) throws IOException {
    out.packInt(flow.priority());
    out.packString(flow.workspace().map(WorkspaceId::value).orElse(""));
  }

  static Flow readFlow(MessageUnpacker in) throws IOException {
    int priority = in.unpackInt();
    String workspace = in.unpackString();
    return new Flow(
        priority, workspace.isEmpty() ? Optional.empty() : Optional.of(new WorkspaceId(workspace)));
  }

  private static void writeLoad(MessageBufferPacker out, Load load) throws IOException {
    out.packInt(load.running());
    out.packLong(load.prefillTokens());
    out.packLong(load.memoryTokens());
    out.packLong(load.recentTokens());
  }

  private static void writePlacement(MessageBufferPacker out, LinkMessage.Placement placement)
      throws IOException {
    out.packString(placement.endpoint().value());
    writeAdapter(out, placement.adapter());
    out.packLong(placement.version());
    out.packLong(placement.readyInMs());
  }

  private static void writeUsage(MessageBufferPacker out, EndpointUsage usage) throws IOException {
    out.packString(usage.endpoint().value());
    writeLoad(out, usage.load());
    list(
        out,
        usage.uses(),
        (to, use) -> {
          writeAdapter(to, use.adapter());
          to.packInt(use.running());
          to.packInt(use.starts());
        });
  }

  /**
   * Decodes a frame.
   *
   * @param frame the bytes
   * @throws FormatException if they are not a frame of the protocol
   */
  public static LinkMessage decode(byte[] frame) throws FormatException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame)) {
      LinkMessage message = read(in, in.unpackInt());
      if (in.hasNext()) {
        throw new IOException("bytes after the end of the frame");
      }
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new FormatException("malformed frame: " + e.getMessage(), e);
    }
  }

  private static LinkMessage read(MessageUnpacker in, int type) throws IOException {
    return switch (type) {
      case HELLO ->
          new LinkMessage.Hello(
              new DaemonId(in.unpackString()),
              new DataCentreId(in.unpackString()),
              in.unpackLong(),
              EntryFrames.readAddress(in));
      case USAGE_REPORT ->
          new LinkMessage.UsageReport(
              in.unpackBoolean(),
              in.unpackBoolean(),
              readClocks(in),
              list(in, LinkFrames::readUsage),
              list(in, LinkFrames::readWorkspaceUsage));
      case LOAD_REQUEST -> readLoadRequest(in);
      case ADAPTER_MISS ->
          new LinkMessage.AdapterMiss(
              new EndpointId(in.unpackString()), readAdapter(in), in.unpackBoolean());
      case COORDINATOR_STATUS ->
          new LinkMessage.CoordinatorStatus(
              in.unpackLong(),
              in.unpackLong(),
              in.unpackInt(),
              in.unpackBoolean(),
              readView(in),
              readView(in),
              readView(in),
              new LoadTimeEstimates(in.unpackLong(), in.unpackLong(), in.unpackInt()),
              in.unpackBoolean(),
              list(in, LinkFrames::readWorkspaceShare),
              in.unpackBoolean(),
              list(in, LinkFrames::readCoordinator));
      case PLACEMENTS ->
          new LinkMessage.Placements(in.unpackBoolean(), list(in, LinkFrames::readPlacement));
      case LOADS -> readLoads(in);
      case LOAD_REJECTED -> new LinkMessage.LoadRejected(readAdapter(in), in.unpackLong());
      case ENDPOINTS -> EntryFrames.read(in);
      case RELEASES ->
          new LinkMessage.Releases(
              list(in, from -> new LinkMessage.Release(readAdapter(from), from.unpackLong())));
      case PERMIT_REQUEST -> readPermitRequest(in);
      case PERMIT_REPLY -> readPermitReply(in);
      case MEMBERS -> EntryFrames.readMembers(in);
      case PEERS -> new LinkMessage.Peers(list(in, LinkFrames::readPeer));
      default -> readPartMessage(in, type);
    };
  }

  private static LinkMessage.LoadRequest readLoadRequest(MessageUnpacker in) throws IOException {
    return new LinkMessage.LoadRequest(
        readAdapter(in),
        in.unpackLong(),
        readFlow(in),
        in.unpackBoolean(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackLong(),
        in.unpackBoolean(),
        list(in, from -> new EndpointId(from.unpackString())));
  }

  private static LinkMessage readPartMessage(MessageUnpacker in, int type) throws IOException {
    return switch (type) {
      case CRASH_REPORT -> PartFrames.readReport(in);
      case PARTS_CLEARED -> new LinkMessage.PartsCleared(PartFrames.readParts(in));
      case PART_VERDICTS -> PartFrames.readVerdicts(in);
      default -> RoomFrames.read(in, type);
    };
  }

  private static LinkMessage.Loads readLoads(MessageUnpacker in) throws IOException {
    return new LinkMessage.Loads(
        readOptionalClocks(in),
        in.unpackLong(),
        readOptionalClocks(in),
        list(in, LinkFrames::readEndpointLoad));
  }

  private static LinkMessage.PermitRequest readPermitRequest(MessageUnpacker in)
      throws IOException {
    EndpointId endpoint = new EndpointId(in.unpackString());
    double perS = in.unpackDouble();
    if (!(perS >= 0 && perS < Double.MAX_VALUE)) {
      throw new IOException("not a rate: " + perS);
    }
    return new LinkMessage.PermitRequest(endpoint, perS, in.unpackInt(), in.unpackLong());
  }

  private static LinkMessage.PermitReply readPermitReply(MessageUnpacker in) throws IOException {
    return new LinkMessage.PermitReply(
        new EndpointId(in.unpackString()),
        LinkMessage.PermitReply.Type.valueOf(in.unpackString()),
        in.unpackLong());
  }

  private static Optional<ClockReading> readOptionalClocks(MessageUnpacker in) throws IOException {
    return in.unpackBoolean() ? Optional.of(readClocks(in)) : Optional.empty();
  }

  private static ClockReading readClocks(MessageUnpacker in) throws IOException {
    return new ClockReading(in.unpackLong(), in.unpackLong());
  }

  private static WorkspaceUsage readWorkspaceUsage(MessageUnpacker in) throws IOException {
    return new WorkspaceUsage(new WorkspaceId(in.unpackString()), in.unpackLong(), in.unpackLong());
  }

  private static WorkspaceShare readWorkspaceShare(MessageUnpacker in) throws IOException {
    return new WorkspaceShare(new WorkspaceId(in.unpackString()), in.unpackDouble());
  }

  private static LinkMessage.CoordinatorAddress readCoordinator(MessageUnpacker in)
      throws IOException {
    return new LinkMessage.CoordinatorAddress(
        new DataCentreId(in.unpackString()), EntryFrames.readAddress(in));
  }

  private static LinkMessage.Peer readPeer(MessageUnpacker in) throws IOException {
    return new LinkMessage.Peer(new DaemonId(in.unpackString()), EntryFrames.readAddress(in));
  }

  private static LinkMessage.StoreView readView(MessageUnpacker in) throws IOException {
    return new LinkMessage.StoreView(in.unpackLong(), in.unpackLong());
  }

  /** Reads one element of a list. */
  @FunctionalInterface
  interface Reader<T> {
    T read(MessageUnpacker in) throws IOException;
  }

  /** The list grows with the elements read, since a malformed frame may state any length. */
  static <T> List<T> list(MessageUnpacker in, Reader<T> reader) throws IOException {
    int size = in.unpackArrayHeader();
    List<T> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(reader.read(in));
    }
    return values;
  }

  static AdapterName readAdapter(MessageUnpacker in) throws IOException {
    return new AdapterName(new ModelId(in.unpackString()), new AdapterId(in.unpackString()));
  }

  private static Load readLoad(MessageUnpacker in) throws IOException {
    return new Load(in.unpackInt(), in.unpackLong(), in.unpackLong(), in.unpackLong());
  }

  private static LinkMessage.Placement readPlacement(MessageUnpacker in) throws IOException {
    return new LinkMessage.Placement(
        new EndpointId(in.unpackString()), readAdapter(in), in.unpackLong(), in.unpackLong());
  }

  private static LinkMessage.EndpointLoad readEndpointLoad(MessageUnpacker in) throws IOException {
    return new LinkMessage.EndpointLoad(new EndpointId(in.unpackString()), readLoad(in));
  }

  private static EndpointUsage readUsage(MessageUnpacker in) throws IOException {
    EndpointId endpoint = new EndpointId(in.unpackString());
    Load load = readLoad(in);
    return new EndpointUsage(
        endpoint,
        load,
        list(
            in,
            from ->
                new EndpointUsage.AdapterUse(
                    readAdapter(from), from.unpackInt(), from.unpackInt())));
  }
}
