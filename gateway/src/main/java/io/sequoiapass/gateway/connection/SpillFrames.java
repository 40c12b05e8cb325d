package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the plan of spill between data centres in a frame. The methods are pure. */
final class SpillFrames {

  private SpillFrames() {}

  static void write(MessageBufferPacker out, RoomMessage.SpillPlan plan) throws IOException {
    LinkFrames.list(
        out,
        plan.shares(),
        (to, share) -> {
          to.packString(share.service().value());
          to.packString(share.to().value());
          to.packFloat((float) share.share());
        });
  }

  static RoomMessage.SpillPlan read(MessageUnpacker in) throws IOException {
    return new RoomMessage.SpillPlan(
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.SpillShare(
                    new ServiceId(from.unpackString()),
                    new DataCentreId(from.unpackString()),
                    LinkFrames.readShare(from))));
  }
}
