package io.sequoiapass.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.sequoiapass.gateway.version.StreamVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A datagram that states which software version has begun a stream. Instances are immutable.
 *
 * @param stream the key of the stream
 * @param version the key of its version, {@link #versionKey}
 */
public record StreamRecord(long stream, long version) {

  /** Length of the encoded form, in bytes. */
  public static final int BYTES = 2 * Long.BYTES;

  /** Separates the parts of a version; no name contains it. */
  private static final char SEPARATOR = '\n';

  /** Returns the number that stands for a version; its names would be most of the datagram. */
  public static long versionKey(StreamVersion version) {
    String names = version.service().value() + SEPARATOR + version.software().value();
    return MurmurHash3.hash128x64(names.getBytes(StandardCharsets.UTF_8))[0];
  }

  /** Returns the encoded form. */
  public ByteBuf encode(ByteBufAllocator allocator) {
    return allocator.buffer(BYTES, BYTES).writeLong(stream).writeLong(version);
  }

  /** Decodes a datagram; empty if it has another length. */
  public static Optional<StreamRecord> decode(ByteBuf datagram) {
    return datagram.readableBytes() == BYTES
        ? Optional.of(new StreamRecord(datagram.readLong(), datagram.readLong()))
        : Optional.empty();
  }
}
