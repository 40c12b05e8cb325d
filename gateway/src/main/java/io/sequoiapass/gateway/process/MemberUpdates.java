package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Names all daemons that are linked to a coordinator to each of them: once in full, then changes.
 * Guarded by the lock of the {@link Coordinator}.
 */
final class MemberUpdates implements CoordinatorModule {

  private Map<DaemonId, LinkMessage.Member> named = Map.of();

  /** Queues what daemons have not been told yet. */
  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    Map<DaemonId, LinkMessage.Member> current = new HashMap<>();
    for (LinkedDaemon linked : links.values()) {
      if (linked.daemon != null && linked.peerAddress != null) {
        current.put(
            linked.daemon,
            new LinkMessage.Member(linked.daemon, linked.dataCentre, linked.peerAddress));
      }
    }
    List<LinkMessage.Member> joined =
        current.values().stream()
            .filter(member -> !member.equals(named.get(member.daemon())))
            .toList();
    List<DaemonId> left =
        named.keySet().stream().filter(daemon -> !current.containsKey(daemon)).toList();
    named = current;
    boolean isChanged = !joined.isEmpty() || !left.isEmpty();
    byte[] changes =
        isChanged ? LinkFrames.encode(new LinkMessage.Members(false, joined, left)) : null;
    byte[] all = null;
    for (Map.Entry<FrameChannel, LinkedDaemon> link : links.entrySet()) {
      LinkedDaemon linked = link.getValue();
      if (linked.hasMembers) {
        if (isChanged) {
          link.getKey().queue(changes);
        }
      } else if (linked.hasPlacements) {
        linked.hasMembers = true;
        all = all == null ? snapshot(current) : all;
        link.getKey().queue(all);
      }
    }
  }

  private static byte[] snapshot(Map<DaemonId, LinkMessage.Member> members) {
    return LinkFrames.encode(
        new LinkMessage.Members(true, new ArrayList<>(members.values()), List.of()));
  }
}
