package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.DaemonId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Orders daemons for a key, the same way on every daemon and without a message.
 *
 * <pre>{@code
 * List<DaemonId> order = Ranking.rendezvous().rank("slip-17", members);
 * }</pre>
 *
 * <p>Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface Ranking {

  /** Returns the members, best first; the order of two never depends on the others. */
  List<DaemonId> rank(String key, Collection<DaemonId> members);

  /** Returns rendezvous hashing with equal weights. */
  static Ranking rendezvous() {
    return (key, members) ->
        members.stream()
            .sorted(
                Comparator.comparingLong((DaemonId daemon) -> score(key, daemon))
                    .thenComparing(Comparator.naturalOrder()))
            .toList();
  }

  private static long score(String key, DaemonId daemon) {
    byte[] bytes = (key + '\n' + daemon).getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes)[0];
  }
}
