package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.EndpointId;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes messages about endpoints' speeds in a frame. The methods are pure. */
final class SpeedFrames {

  private SpeedFrames() {}

  static void write(MessageBufferPacker out, RoomMessage.SpeedReport report) throws IOException {
    LinkFrames.list(
        out,
        report.endpoints(),
        (to, samples) -> {
          to.packString(samples.endpoint().value());
          to.packLong(samples.startTimeMs());
          to.packInt(samples.count());
          to.packLong(samples.actualMs());
          to.packLong(samples.expectedMs());
        });
  }

  static RoomMessage.SpeedReport readReport(MessageUnpacker in) throws IOException {
    return new RoomMessage.SpeedReport(
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.SpeedSamples(
                    new EndpointId(from.unpackString()),
                    from.unpackLong(),
                    from.unpackInt(),
                    from.unpackLong(),
                    from.unpackLong())));
  }

  static void write(MessageBufferPacker out, RoomMessage.Speeds speeds) throws IOException {
    out.packBoolean(speeds.snapshot());
    LinkFrames.list(
        out,
        speeds.speeds(),
        (to, speed) -> {
          to.packString(speed.endpoint().value());
          to.packLong(speed.startTimeMs());
          to.packFloat((float) speed.lasting());
          to.packFloat((float) speed.current());
        });
  }

  static RoomMessage.Speeds readSpeeds(MessageUnpacker in) throws IOException {
    return new RoomMessage.Speeds(
        in.unpackBoolean(),
        LinkFrames.list(
            in,
            from ->
                new RoomMessage.EndpointSpeed(
                    new EndpointId(from.unpackString()),
                    from.unpackLong(),
                    readRatio(from),
                    readRatio(from))));
  }

  private static double readRatio(MessageUnpacker in) throws IOException {
    double ratio = in.unpackFloat();
    if (!(ratio > 0 && ratio < Double.MAX_VALUE)) {
      throw new IOException("not a ratio: " + ratio);
    }
    return ratio;
  }
}
