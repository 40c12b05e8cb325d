package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.process.RendezvousHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Spreads a push over a data centre as a tree: the sender reaches a few peers, each of which passes
 * it on to the peers named in its copy.
 *
 * <pre>{@code
 * List<DaemonId> order = FanOut.order(self, neighbours, heard);
 * for (FanOut.Branch branch : FanOut.branches(order)) {
 *   send(branch.child(), push.passedOnTo(branch.rest()));
 * }
 * }</pre>
 *
 * <p>Each copy names who is to get it, so daemons need not agree on the members. A peer that dies
 * with a copy takes the copies of its branch with it; their digests differ from the sender's next
 * heartbeat on, and the repair brings what they lack. Safe for use by several threads.
 */
public final class FanOut {

  /** Two hops reach 20 daemons; a data centre of the size to design for has 17. */
  private static final int WIDTH = 4;

  private FanOut() {}

  /**
   * Is one peer to send to, and those to which it passes the push on.
   *
   * @param child the peer
   * @param rest the others of its branch
   */
  public record Branch(DaemonId child, List<DaemonId> rest) {

    /** Copies the list. */
    public Branch {
      rest = List.copyOf(rest);
    }
  }

  /**
   * Returns the targets in the order of their places in the tree: those heard from first, since a
   * silent one would lose the copies of its branch; among them by rendezvous, so that the watchers
   * of a data centre load different peers.
   *
   * @param sender who sends
   * @param targets all that are to be reached
   * @param heard those heard from
   */
  public static List<DaemonId> order(
      DaemonId sender, Collection<DaemonId> targets, Collection<DaemonId> heard) {
    List<DaemonId> ranked = RendezvousHash.rank("push/" + sender, targets);
    List<DaemonId> order = new ArrayList<>();
    ranked.stream().filter(heard::contains).forEach(order::add);
    ranked.stream().filter(target -> !heard.contains(target)).forEach(order::add);
    return order;
  }

  /**
   * Returns the branches of a tree.
   *
   * @param targets the targets, in the order of their places
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
