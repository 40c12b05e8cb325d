package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Orders daemons for a key, identically on every daemon and without communication.
 *
 * <pre>{@code
 * List<DaemonId> order = Ranking.rendezvous().rank("slip-17", members);
 * }</pre>
 *
 * <p>Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface Ranking {

  /**
   * Returns the members in descending preference; the relative order of two members is independent
   * of the others.
   */
  List<DaemonId> rank(String key, Collection<DaemonId> members);

  /** Returns rendezvous hashing with equal weights. */
  static Ranking rendezvous() {
    return (key, members) ->
        members.stream()
            .map(daemon -> new Scored(score(key, daemon), daemon))
            .sorted(Comparator.comparingLong(Scored::score).thenComparing(Scored::daemon))
            .map(Scored::daemon)
            .toList();
  }

  /**
   * A member with its score for one key, which avoids hashing it repeatedly while sorting.
   *
   * @param score the score
   * @param daemon the member
   */
  record Scored(long score, DaemonId daemon) {}

  private static long score(String key, DaemonId daemon) {
    byte[] bytes = (key + '\n' + daemon).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
