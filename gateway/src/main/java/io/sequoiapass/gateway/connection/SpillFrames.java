package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about spill between data centres. The methods are pure. */
final class SpillFrames {

  private SpillFrames() {}

  static void write(MessageBufferPacker out, RoomMessage.SpillShares message) throws IOException {
    LinkFrames.list(
        out,
        message.loads(),
        (to, load) -> {
          to.packString(load.service().value());
          to.packInt(load.slots());
          to.packMapHeader(load.used().size());
          for (Map.Entry<DataCentreId, Integer> used : load.used().entrySet()) {
            to.packString(used.getKey().value());
            to.packInt(used.getValue());
          }
        });
    LinkFrames.list(
        out,
        message.shares(),
        (to, share) -> {
          to.packString(share.service().value());
          to.packString(share.to().value());
          to.packFloat((float) share.share());
        });
  }

  static RoomMessage.SpillShares read(MessageUnpacker in) throws IOException {
    return new RoomMessage.SpillShares(
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.SlotUse(
                    new ServiceId(from.unpackString()), from.unpackInt(), readUsed(from))),
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.SpillShare(
                    new ServiceId(from.unpackString()),
                    new DataCentreId(from.unpackString()),
                    LinkFrames.readShare(from))));
  }

  private static Map<DataCentreId, Integer> readUsed(MessageUnpacker in) throws IOException {
    int size = in.unpackMapHeader();
    Map<DataCentreId, Integer> used = new HashMap<>();
    for (int i = 0; i < size; i++) {
      used.put(new DataCentreId(in.unpackString()), in.unpackInt());
    }
    return used;
  }
}
