package io.sequoiapass.coordination.version;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Hash of a name and a version that is identical in every process.
 *
 * @param bits the hash
 */
record StableHash(long bits) {

  private static final int SEED = 0;

  static StableHash of(String name, long version) {
    byte[] bytes = (version + ":" + name).getBytes(StandardCharsets.UTF_8);
    return new StableHash(MurmurHash3.hash128x64(bytes, 0, bytes.length, SEED)[0]);
  }

  int bucket(int buckets) {
    return (int) Long.remainderUnsigned(bits, buckets);
  }
}
