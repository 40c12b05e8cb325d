package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.ServiceId;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about demand and shortages in a frame. The methods are pure. */
final class ShortageFrames {

  private ShortageFrames() {}

  static void write(MessageBufferPacker out, RoomMessage.DemandReport report) throws IOException {
    LinkFrames.list(
        out,
        report.flows(),
        (to, demand) -> {
          to.packString(demand.service().value());
          LinkFrames.writeFlow(to, demand.flow());
          to.packBoolean(demand.adapterHeld());
          to.packInt(demand.asked());
          to.packInt(demand.refused());
          to.packInt(demand.served());
        });
    LinkFrames.list(
        out,
        report.inFlight(),
        (to, inFlight) -> {
          to.packString(inFlight.service().value());
          to.packInt(inFlight.requests());
        });
  }

  static RoomMessage.DemandReport readDemand(MessageUnpacker in) throws IOException {
    return new RoomMessage.DemandReport(
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.FlowDemand(
                    new ServiceId(from.unpackString()),
                    LinkFrames.readFlow(from),
                    from.unpackBoolean(),
                    from.unpackInt(),
                    from.unpackInt(),
                    from.unpackInt())),
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.InFlight(new ServiceId(from.unpackString()), from.unpackInt())));
  }

  static void write(MessageBufferPacker out, RoomMessage.Shortages report) throws IOException {
    LinkFrames.list(
        out,
        report.shortages(),
        (to, shortage) -> {
          to.packString(shortage.service().value());
          to.packString(shortage.room().name());
          to.packLong(shortage.number());
          to.packLong(shortage.retryAfterMs());
          LinkFrames.list(to, shortage.shares(), ShortageFrames::writeShare);
        });
  }

  private static void writeShare(MessageBufferPacker out, RoomMessage.FlowShare share)
      throws IOException {
    LinkFrames.writeFlow(out, share.flow());
    out.packFloat((float) share.share());
  }

  static RoomMessage.Shortages readShortages(MessageUnpacker in) throws IOException {
    return new RoomMessage.Shortages(
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.Shortage(
                    new ServiceId(from.unpackString()),
                    readRoom(from),
                    from.unpackLong(),
                    from.unpackLong(),
                    LinkFrames.list(from, ShortageFrames::readShare))));
  }

  private static Room readRoom(MessageUnpacker in) throws IOException {
    String name = in.unpackString();
    try {
      return Room.valueOf(name);
    } catch (IllegalArgumentException e) {
      throw new IOException("not a kind of room: " + name, e);
    }
  }

  private static RoomMessage.FlowShare readShare(MessageUnpacker in) throws IOException {
    return new RoomMessage.FlowShare(LinkFrames.readFlow(in), LinkFrames.readShare(in));
  }
}
