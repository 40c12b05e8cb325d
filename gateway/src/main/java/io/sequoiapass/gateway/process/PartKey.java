package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ServiceId;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Stands for one part of prompts for one service, or for one request as a whole.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value a hash of the service and the part, or of what the request asks for
 */
public record PartKey(long value) {

  /**
   * Returns the key of a part.
   *
   * @param service the service that the prompt is sent to
   * @param part the part's id
   */
  public static PartKey of(ServiceId service, String part) {
    return of(service, part.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the key of a request.
   *
   * @param service the service that the request is sent to
   * @param content what the request asks for
   */
  public static PartKey of(ServiceId service, byte[] content) {
    return new PartKey(MurmurHash3.hash128x64(join(service.value() + "/", content))[0]);
  }

  /** Returns a text, as UTF-8, followed by other bytes. */
  public static byte[] join(String text, byte[] bytes) {
    byte[] start = text.getBytes(StandardCharsets.UTF_8);
    byte[] all = Arrays.copyOf(start, start.length + bytes.length);
    System.arraycopy(bytes, 0, all, start.length, bytes.length);
    return all;
  }
}
