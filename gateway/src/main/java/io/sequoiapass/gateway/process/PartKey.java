package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ServiceId;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Stands for one part of prompts for one service.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value a hash of the service and the part
 */
public record PartKey(long value) {

  /**
   * Returns the key of a part.
   *
   * @param service the service that the prompt is sent to
   * @param part the part's id
   */
  static PartKey of(ServiceId service, String part) {
    byte[] name = (service.value() + "/" + part).getBytes(StandardCharsets.UTF_8);
    return new PartKey(MurmurHash3.hash128x64(name)[0]);
  }
}
