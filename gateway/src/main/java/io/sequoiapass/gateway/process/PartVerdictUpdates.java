package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A coordinator's verdicts on parts of prompts that crash endpoints, and what its daemons know of
 * them. Guarded by the lock of the {@link Coordinator}.
 */
final class PartVerdictUpdates implements CoordinatorModule {

  private final CrashVerdicts verdicts = new CrashVerdicts();
  private final Consumer<LinkMessage> otherRegions;
  private Set<PartKey> sentSuspected = Set.of();
  private Set<PartKey> sentConvicted = Set.of();

  /**
   * Creates updates without verdicts.
   *
   * @param otherRegions receives the reports of this region's daemons; must not block
   */
  PartVerdictUpdates(Consumer<LinkMessage> otherRegions) {
    this.otherRegions = otherRegions;
  }

  /** Messages of a sender that was not introduced come from a coordinator of another region. */
  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    boolean isEvidence =
        message instanceof LinkMessage.CrashReport || message instanceof LinkMessage.PartsCleared;
    if (from.daemon != null && isEvidence) {
      otherRegions.accept(message);
    }
    if (message instanceof LinkMessage.CrashReport report) {
      report
          .suspects()
          .forEach(one -> verdicts.crashed(report.process(), one.request(), one.parts(), now));
    } else if (message instanceof LinkMessage.PartsCleared cleared) {
      verdicts.cleared(cleared.parts(), now);
    } else if (message instanceof LinkMessage.PartVerdicts known) {
      verdicts.adopt(known.convicted(), now);
    }
  }

  /** Queues what daemons have not been told yet. */
  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    Set<PartKey> convicted = verdicts.convicted(now);
    Set<PartKey> suspected = verdicts.suspected(now);
    boolean isChanged = !suspected.equals(sentSuspected) || !convicted.equals(sentConvicted);
    byte[] changes = isChanged ? changes(suspected, convicted) : null;
    byte[] all = null;
    for (Map.Entry<FrameChannel, LinkedDaemon> link : links.entrySet()) {
      LinkedDaemon linked = link.getValue();
      if (linked.hasVerdicts && isChanged) {
        link.getKey().queue(changes);
      } else if (!linked.hasVerdicts && linked.daemon != null) {
        linked.hasVerdicts = true;
        all = all == null ? snapshot(suspected, convicted) : all;
        link.getKey().queue(all);
      }
    }
    sentSuspected = suspected;
    sentConvicted = convicted;
  }

  private byte[] changes(Set<PartKey> suspected, Set<PartKey> convicted) {
    Set<PartKey> ended = new HashSet<>(sentSuspected);
    ended.addAll(sentConvicted);
    ended.removeAll(suspected);
    ended.removeAll(convicted);
    return LinkFrames.encode(
        new LinkMessage.PartVerdicts(
            false,
            without(suspected, sentSuspected),
            without(convicted, sentConvicted),
            List.copyOf(ended)));
  }

  private static List<PartKey> without(Set<PartKey> parts, Set<PartKey> known) {
    return parts.stream().filter(part -> !known.contains(part)).toList();
  }

  private static byte[] snapshot(Set<PartKey> suspected, Set<PartKey> convicted) {
    return LinkFrames.encode(
        new LinkMessage.PartVerdicts(
            true, List.copyOf(suspected), List.copyOf(convicted), List.of()));
  }
}
