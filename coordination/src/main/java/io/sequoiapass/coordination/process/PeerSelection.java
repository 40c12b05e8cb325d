package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Random;

/**
 * Selects the peers through which a daemon without a path to the endpoints serves its callers.
 *
 * <p>The load it answers: up to all daemons of a data centre are cut off at the same time, and each
 * sends all its requests through peers. Peers of the same data centre save bytes between data
 * centres, but only as long as each of them takes over for at most one other daemon; otherwise the
 * load is spread over the whole region.
 *
 * <pre>{@code
 * List<DaemonId> peers = selection.select(new Member(daemon, north, false), members);
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class PeerSelection {

  /** Largest number of peers of one daemon; each costs connections on both sides. */
  public static final int MAX_PEERS = 8;

  private final Random random;

  /**
   * Creates a selection.
   *
   * @param random shuffles the candidates, so that daemons that are cut off use different peers
   */
  public PeerSelection(Random random) {
    this.random = Objects.requireNonNull(random, "random");
  }

  /**
   * A daemon of the region.
   *
   * @param daemon its name
   * @param dataCentre where it runs
   * @param servesPeers whether it has a path to the endpoints and accepts requests of other daemons
   */
  public record Member(DaemonId daemon, DataCentreId dataCentre, boolean servesPeers) {}

  /**
   * Returns peers for a daemon, in random order.
   *
   * @param member the daemon
   * @param members the daemons of its region
   */
  public List<DaemonId> select(Member member, Collection<Member> members) {
    List<DaemonId> near = new ArrayList<>();
    List<DaemonId> all = new ArrayList<>();
    int nearCutOff = 0;
    for (Member other : members) {
      boolean isNear = other.dataCentre().equals(member.dataCentre());
      if (!other.servesPeers() || other.daemon().equals(member.daemon())) {
        nearCutOff += isNear ? 1 : 0;
        continue;
      }
      all.add(other.daemon());
      if (isNear) {
        near.add(other.daemon());
      }
    }
    List<DaemonId> candidates = !near.isEmpty() && near.size() >= nearCutOff ? near : all;
    Collections.shuffle(candidates, random);
    return List.copyOf(candidates.subList(0, Math.min(MAX_PEERS, candidates.size())));
  }
}
