package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.process.RetryClaim;
import io.sequoiapass.coordination.process.RetryGrant;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about retry budgets in a frame. The methods are pure. */
final class RetryFrames {

  private RetryFrames() {}

  static void write(MessageBufferPacker out, RoomMessage.RetryClaims message) throws IOException {
    LinkFrames.list(
        out,
        message.claims(),
        (to, claimed) -> {
          to.packString(claimed.service().value());
          to.packLong(claimed.claim().number());
          to.packInt(claimed.claim().kept());
          to.packInt(claimed.claim().needed());
        });
  }

  static RoomMessage.RetryClaims readClaims(MessageUnpacker in) throws IOException {
    return new RoomMessage.RetryClaims(
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.ServiceClaim(
                    new ServiceId(from.unpackString()),
                    new RetryClaim(from.unpackLong(), readCount(from), readCount(from)))));
  }

  static void write(MessageBufferPacker out, RoomMessage.RetryGrants message) throws IOException {
    LinkFrames.list(
        out,
        message.grants(),
        (to, granted) -> {
          to.packString(granted.service().value());
          to.packLong(granted.grant().claim());
          to.packInt(granted.grant().leased());
          to.packInt(granted.grant().fair());
        });
  }

  static RoomMessage.RetryGrants readGrants(MessageUnpacker in) throws IOException {
    return new RoomMessage.RetryGrants(
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.ServiceGrant(
                    new ServiceId(from.unpackString()),
                    new RetryGrant(from.unpackLong(), readCount(from), readCount(from)))));
  }

  private static int readCount(MessageUnpacker in) throws IOException {
    int count = in.unpackInt();
    if (count < 0) {
      throw new IOException("not a number of retries: " + count);
    }
    return count;
  }
}
