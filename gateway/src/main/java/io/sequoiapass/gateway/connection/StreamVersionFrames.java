package io.sequoiapass.gateway.connection;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.version.SoftwareVersion;
import io.sequoiapass.gateway.version.StreamVersion;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes what daemons tell each other about the software versions of streams, as
 * MessagePack sequences. The methods are pure.
 */
public final class StreamVersionFrames {

  private StreamVersionFrames() {}

  /**
   * Encodes streams by their version.
   *
   * @param streams the keys of the streams that each version began
   */
  public static byte[] encode(Map<StreamVersion, List<Long>> streams) {
    return LinkFrames.bytes(
        out -> {
          out.packMapHeader(streams.size());
          for (Map.Entry<StreamVersion, List<Long>> entry : streams.entrySet()) {
            write(out, entry.getKey());
            LinkFrames.list(out, entry.getValue(), MessageBufferPacker::packLong);
          }
        });
  }

  /**
   * Encodes the keys of streams.
   *
   * @param keys the keys
   */
  public static byte[] encodeKeys(List<Long> keys) {
    return LinkFrames.bytes(out -> LinkFrames.list(out, keys, MessageBufferPacker::packLong));
  }

  private static void write(MessageBufferPacker out, StreamVersion version) throws IOException {
    out.packString(version.service().value());
    out.packString(version.software().value());
  }

  /**
   * Decodes streams by their version.
   *
   * @param bytes the bytes
   * @throws LinkFrames.FormatException if they are malformed
   */
  public static Map<StreamVersion, List<Long>> decodeStreams(byte[] bytes)
      throws LinkFrames.FormatException {
    return decode(
        bytes,
        in -> {
          Map<StreamVersion, List<Long>> streams = new LinkedHashMap<>();
          int versions = in.unpackMapHeader();
          for (int i = 0; i < versions; i++) {
            streams.put(read(in), LinkFrames.list(in, MessageUnpacker::unpackLong));
          }
          return streams;
        });
  }

  /**
   * Decodes the keys of streams.
   *
   * @param bytes the bytes
   * @throws LinkFrames.FormatException if they are malformed
   */
  public static List<Long> decodeKeys(byte[] bytes) throws LinkFrames.FormatException {
    return decode(bytes, in -> LinkFrames.list(in, MessageUnpacker::unpackLong));
  }

  private static StreamVersion read(MessageUnpacker in) throws IOException {
    return new StreamVersion(
        new ServiceId(in.unpackString()), new SoftwareVersion(in.unpackString()));
  }

  @FunctionalInterface
  private interface Reader<T> {
    T read(MessageUnpacker in) throws IOException;
  }

  private static <T> T decode(byte[] bytes, Reader<T> reader) throws LinkFrames.FormatException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      return reader.read(in);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new LinkFrames.FormatException("malformed stream versions: " + e.getMessage(), e);
    }
  }
}
