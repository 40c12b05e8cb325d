package io.sequoiapass.coordination.version;

import java.util.ArrayList;
import java.util.List;

/**
 * Sums up which versions of which objects a daemon holds, for the repair exchange between peers.
 *
 * <pre>{@code
 * if (mine.root() != theirs.root()) {
 *   List<Integer> differing = mine.differingFrom(theirs);
 * }
 * }</pre>
 *
 * <p>Peers exchange the 8 bytes of the root each second, the 2 KB of the buckets only when roots
 * differ. Instances are immutable and safe for use by several threads.
 *
 * @param buckets one sum a bucket of keys
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

  /** Returns the sum over all buckets. */
  public long root() {
    long root = 0;
    for (int i = 0; i < buckets.size(); i++) {
      root = root * 31 + buckets.get(i);
    }
    return root;
  }

  /** Returns the buckets in which the other differs. */
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
