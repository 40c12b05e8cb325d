package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.process.RendezvousHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Dissemination tree for pushes within a data centre: the sender sends to a few peers, each of
 * which forwards the push to the peers named in its copy.
 *
 * <pre>{@code
 * List<DaemonId> order = FanOut.order(self, neighbours, live);
 * for (FanOut.Branch branch : FanOut.branches(order)) {
 *   send(branch.child(), push.withForwardTo(branch.rest()));
 * }
 * }</pre>
 *
 * <p>Each copy names its further recipients, so daemons need not agree on the membership. If a peer
 * fails before forwarding, its branch misses the push; the branch's digests then differ from the
 * sender's next heartbeat, and the repair exchange delivers the missing objects. Safe for use by
 * several threads.
 */
public final class FanOut {

  /** Two hops reach 20 daemons; a data centre of the design size has 17. */
  private static final int WIDTH = 4;

  private FanOut() {}

  /**
   * A direct recipient and the peers to which it forwards the push.
   *
   * @param child the peer
   * @param rest the other peers of its branch
   */
  public record Branch(DaemonId child, List<DaemonId> rest) {

    /** Copies the list. */
    public Branch {
      rest = List.copyOf(rest);
    }
  }

  /**
   * Returns the targets in tree order: live ones first, since an unresponsive one would lose the
   * copies of its branch; within each group by rendezvous hash, so that the watchers of a data
   * centre put load on different peers.
   *
   * @param sender the sending daemon
   * @param targets all recipients
   * @param live the live daemons
   */
  public static List<DaemonId> order(
      DaemonId sender, Collection<DaemonId> targets, Collection<DaemonId> live) {
    List<DaemonId> ranked = RendezvousHash.rank("push/" + sender, targets);
    List<DaemonId> order = new ArrayList<>();
    ranked.stream().filter(live::contains).forEach(order::add);
    ranked.stream().filter(target -> !live.contains(target)).forEach(order::add);
    return order;
  }

  /**
   * Returns the branches of a tree.
   *
   * @param targets the targets, in tree order
   */
  public static List<Branch> branches(List<DaemonId> targets) {
    int children = Math.min(WIDTH, targets.size());
    List<Branch> branches = new ArrayList<>();
    for (int child = 0; child < children; child++) {
      List<DaemonId> rest = new ArrayList<>();
      for (int i = child + WIDTH; i < targets.size(); i += WIDTH) {
        rest.add(targets.get(i));
      }
      branches.add(new Branch(targets.get(child), rest));
    }
    return branches;
  }
}
