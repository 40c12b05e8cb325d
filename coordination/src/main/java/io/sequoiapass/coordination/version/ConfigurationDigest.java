package io.sequoiapass.coordination.version;

import java.util.ArrayList;
import java.util.List;

/**
 * Digest of the object versions that a daemon holds, for anti-entropy repair between peers.
 *
 * <pre>{@code
 * if (mine.root() != theirs.root()) {
 *   List<Integer> differing = mine.differingFrom(theirs);
 * }
 * }</pre>
 *
 * <p>Peers exchange the 8-byte root each second, and the 2 KB of bucket sums only when roots
 * differ. Instances are immutable and safe for use by several threads.
 *
 * @param buckets one sum per bucket of keys
 */
public record ConfigurationDigest(List<Long> buckets) {

  /** Copies the sums and checks their number. */
  public ConfigurationDigest {
    buckets = List.copyOf(buckets);
    if (buckets.size() != VersionedMap.BUCKETS) {
      throw new IllegalArgumentException(
          "a digest has " + VersionedMap.BUCKETS + " buckets, not " + buckets.size());
    }
  }

  /** Returns the combined hash of all buckets. */
  public long root() {
    long root = 0;
    for (int i = 0; i < buckets.size(); i++) {
      root = root * 31 + buckets.get(i);
    }
    return root;
  }

  /** Returns the indices of the buckets that differ from those of another digest. */
  public List<Integer> differingFrom(ConfigurationDigest other) {
    List<Integer> differing = new ArrayList<>();
    for (int i = 0; i < buckets.size(); i++) {
      if (!buckets.get(i).equals(other.buckets.get(i))) {
        differing.add(i);
      }
    }
    return differing;
  }
}
