package io.sequoiapass.coordination.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Weighted rendezvous hashing: processes with the same candidates compute the same ranking for a
 * key without communication.
 *
 * <pre>{@code
 * List<DaemonId> ranked = RendezvousHash.rank("yard-north-engine-4", daemons, daemon -> 1.0);
 * }</pre>
 *
 * <p>The removal of a candidate moves only the keys for which it ranked first. Candidates are
 * hashed by {@code toString}, which the identifiers of this library define as their value. The
 * methods are pure and safe for use by several threads.
 */
public final class RendezvousHash {

  private static final int SEED = 0;
  private static final int UNIFORM_BITS = 53;

  private RendezvousHash() {}

  /**
   * Returns the candidates, best first; candidates with weight zero are omitted.
   *
   * @param key the key to place
   * @param candidates the candidates, with distinct names
   * @param weight the share of keys of a candidate, relative to other candidates
   * @throws IllegalArgumentException if a weight is negative or not finite
   */
  public static <T> List<T> rank(
      String key, Collection<T> candidates, ToDoubleFunction<? super T> weight) {
    Map<T, Double> scores = new HashMap<>();
    for (T candidate : candidates) {
      double share = checkedWeight(candidate, weight.applyAsDouble(candidate));
      if (share > 0) {
        scores.put(candidate, score(key, candidate.toString(), share));
      }
    }
    List<T> ranked = new ArrayList<>(scores.keySet());
    ranked.sort(
        Comparator.comparing((T candidate) -> scores.get(candidate))
            .reversed()
            .thenComparing(Object::toString));
    return ranked;
  }

  /**
   * Returns the candidates, best first, with equal weights.
   *
   * @param key the key to place
   * @param candidates the candidates
   */
  public static <T> List<T> rank(String key, Collection<T> candidates) {
    return rank(key, candidates, candidate -> 1.0);
  }

  /**
   * Returns the best candidate, with equal weights; empty if there are no candidates.
   *
   * @param key the key to place
   * @param candidates the candidates
   */
  public static <T> Optional<T> first(String key, Collection<T> candidates) {
    return rank(key, candidates).stream().findFirst();
  }

  private static double checkedWeight(Object candidate, double weight) {
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight of " + candidate + " must be >= 0: " + weight);
    }
    return weight;
  }

  private static double score(String key, String candidate, double weight) {
    // The length makes ("ab", "c") and ("a", "bc") hash differently.
    byte[] bytes = (key.length() + ":" + key + candidate).getBytes(StandardCharsets.UTF_8);
    long hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, SEED)[0];
    double uniform = ((hash >>> (Long.SIZE - UNIFORM_BITS)) + 0.5) / (1L << UNIFORM_BITS);
    return -weight / Math.log(uniform);
  }
}
