package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Gives the daemons of a coordinator turns to have long prompts read. */
final class PromptTurns implements CoordinatorModule {

  /**
   * How long an adapter is kept for a request that waits for its turn, in milliseconds; longer than
   * the time between two rounds of updates.
   */
  private static final long KEEP_MS = 700;

  private final PlacementPlan plan;
  private final PromptSchedule<Key> schedule;

  private record Key(LinkedDaemon daemon, long id) {}

  /**
   * Creates a module without requests.
   *
   * @param plan the plan
   * @param directory the endpoints and their speeds
   * @param clock the monotonic clock
   */
  PromptTurns(PlacementPlan plan, EndpointDirectory directory, MillisClock clock) {
    this.plan = plan;
    this.schedule = new PromptSchedule<>(endpoint -> speed(directory, endpoint, clock.millis()));
  }

  private static double speed(EndpointDirectory directory, EndpointId endpoint, long now) {
    return directory
        .groupOf(endpoint)
        .map(group -> group.tokensPerMs(endpoint, now))
        .orElse(EndpointGroup.FIRST_TOKENS_PER_MS);
  }

  @Override
  public void activated(long now) {
    schedule.clear();
  }

  @Override
  public void receive(LinkedDaemon from, LinkMessage message, long now) {
    if (message instanceof RoomMessage.PromptRequest asked && !asked.options().isEmpty()) {
      PromptSchedule.Request request =
          new PromptSchedule.Request(asked.adapter(), asked.flow(), asked.gapMs(), asked.options());
      keep(request, now);
      Optional<PromptSchedule.Turn<Key>> turn =
          schedule.ask(new Key(from, asked.id()), request, now);
      turn.ifPresent(PromptTurns::send);
    } else if (message instanceof RoomMessage.PromptRead read) {
      schedule.read(new Key(from, read.id()), now).forEach(PromptTurns::send);
    }
  }

  @Override
  public void unlinked(LinkedDaemon daemon, long now) {
    List<PromptSchedule.Turn<Key>> given = schedule.removeIf(key -> key.daemon() == daemon, now);
    given.forEach(PromptTurns::send);
  }

  @Override
  public void queue(Map<FrameChannel, LinkedDaemon> links, long now) {
    schedule.expire(now).forEach(PromptTurns::send);
    schedule.waiting().forEach(request -> keep(request, now));
  }

  /** Otherwise the adapter is evicted as unused while its request waits. */
  private void keep(PromptSchedule.Request request, long now) {
    request
        .adapter()
        .ifPresent(
            adapter ->
                request
                    .options()
                    .forEach(option -> plan.keep(option.endpoint(), adapter, now + KEEP_MS)));
  }

  private static void send(PromptSchedule.Turn<Key> turn) {
    RoomMessage.PromptTurn message =
        new RoomMessage.PromptTurn(turn.key().id(), turn.endpoint(), turn.delayMs());
    turn.key().daemon().channel.send(LinkFrames.encode(message));
  }
}
