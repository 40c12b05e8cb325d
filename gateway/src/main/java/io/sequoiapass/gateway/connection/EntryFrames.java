package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes entries of the endpoint list and of the daemons within a frame. The methods
 * are pure.
 */
final class EntryFrames {

  private EntryFrames() {}

  static void write(MessageBufferPacker out, LinkMessage.Endpoints endpoints) throws IOException {
    out.packBoolean(endpoints.snapshot());
    out.packLong(endpoints.revision());
    LinkFrames.list(
        out,
        endpoints.entries(),
        (to, listed) -> {
          writeEntry(to, listed.entry());
          to.packLong(listed.revision());
        });
    LinkFrames.list(
        out,
        endpoints.gone(),
        (to, gone) -> {
          to.packString(gone.endpoint().value());
          to.packLong(gone.revision());
          to.packLong(gone.graceMs());
        });
  }

  private static void writeEntry(MessageBufferPacker out, EndpointEntry entry) throws IOException {
    out.packString(entry.endpoint().value());
    out.packString(entry.service().value());
    writeAddress(out, entry.address());
    out.packString(entry.dataCentre().value());
    out.packInt(entry.slots());
    out.packBoolean(entry.leaving());
    out.packLong(entry.startTimeMs());
    out.packString(entry.software().value());
    LinkFrames.list(out, entry.models(), EntryFrames::writeModel);
  }

  static void write(MessageBufferPacker out, LinkMessage.Members members) throws IOException {
    out.packBoolean(members.snapshot());
    LinkFrames.list(
        out,
        members.joined(),
        (to, member) -> {
          to.packString(member.daemon().value());
          to.packString(member.dataCentre().value());
          writeAddress(to, member.address());
        });
    LinkFrames.list(out, members.left(), (to, daemon) -> to.packString(daemon.value()));
  }

  static LinkMessage.Members readMembers(MessageUnpacker in) throws IOException {
    return new LinkMessage.Members(
        in.unpackBoolean(),
        LinkFrames.list(
            in,
            from ->
                new LinkMessage.Member(
                    new DaemonId(from.unpackString()),
                    new DataCentreId(from.unpackString()),
                    readAddress(from))),
        LinkFrames.list(in, from -> new DaemonId(from.unpackString())));
  }

  static void writeAddress(MessageBufferPacker out, InetSocketAddress address) throws IOException {
    byte[] ip = address.getAddress().getAddress();
    out.packBinaryHeader(ip.length);
    out.writePayload(ip);
    out.packInt(address.getPort());
  }

  static InetSocketAddress readAddress(MessageUnpacker in) throws IOException {
    InetAddress ip = InetAddress.getByAddress(in.readPayload(in.unpackBinaryHeader()));
    return new InetSocketAddress(ip, in.unpackInt());
  }

  private static void writeModel(MessageBufferPacker out, EndpointEntry.HeldModel model)
      throws IOException {
    out.packString(model.model().value());
    out.packLong(model.version());
    LinkFrames.list(
        out,
        List.copyOf(model.adapters().entrySet()),
        (to, adapter) -> {
          to.packString(adapter.getKey().value());
          to.packLong(adapter.getValue());
        });
  }

  static LinkMessage.Endpoints read(MessageUnpacker in) throws IOException {
    return new LinkMessage.Endpoints(
        in.unpackBoolean(),
        in.unpackLong(),
        LinkFrames.list(
            in, from -> new LinkMessage.ListedEndpoint(readEntry(from), from.unpackLong())),
        LinkFrames.list(
            in,
            from ->
                new LinkMessage.GoneEndpoint(
                    new EndpointId(from.unpackString()), from.unpackLong(), from.unpackLong())));
  }

  private static EndpointEntry readEntry(MessageUnpacker in) throws IOException {
    return new EndpointEntry(
        new EndpointId(in.unpackString()),
        new ServiceId(in.unpackString()),
        readAddress(in),
        new DataCentreId(in.unpackString()),
        in.unpackInt(),
        in.unpackBoolean(),
        in.unpackLong(),
        new SoftwareVersion(in.unpackString()),
        LinkFrames.list(in, EntryFrames::readModel));
  }

  private static EndpointEntry.HeldModel readModel(MessageUnpacker in) throws IOException {
    ModelId model = new ModelId(in.unpackString());
    long version = in.unpackLong();
    Map<AdapterId, Long> adapters = new HashMap<>();
    int size = in.unpackArrayHeader();
    for (int i = 0; i < size; i++) {
      adapters.put(new AdapterId(in.unpackString()), in.unpackLong());
    }
    return new EndpointEntry.HeldModel(model, version, adapters);
  }
}
