package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.RoomMessage.PromptOption;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds adapters that need another copy, since their long prompts wait for turns.
 *
 * <p>The load it answers: a popular adapter whose prompts arrive faster than the engines that hold
 * it may read them. Daemons ask for another copy when an engine has much to read, but prompts that
 * wait for their turns are not at an engine yet. The methods are pure.
 */
final class PromptCopies {

  private PromptCopies() {}

  /**
   * Returns what the loads have to provide: one for each adapter with more waiting prompts than
   * engines that could read them, so that the last of them waits for several others.
   *
   * @param waiting the requests that wait for turns
   */
  static List<LoadNeed> needed(Collection<PromptSchedule.Request> waiting) {
    Map<AdapterName, List<PromptSchedule.Request>> byAdapter = new HashMap<>();
    for (PromptSchedule.Request request : waiting) {
      request
          .adapter()
          .ifPresent(
              adapter -> byAdapter.computeIfAbsent(adapter, any -> new ArrayList<>()).add(request));
    }
    List<LoadNeed> needs = new ArrayList<>();
    byAdapter.forEach((adapter, requests) -> need(adapter, requests).ifPresent(needs::add));
    return needs;
  }

  private static Optional<LoadNeed> need(
      AdapterName adapter, List<PromptSchedule.Request> requests) {
    Set<EndpointId> engines = new HashSet<>();
    long tokens = 0;
    for (PromptSchedule.Request request : requests) {
      for (PromptOption option : request.options()) {
        engines.add(option.endpoint());
        tokens = Math.max(tokens, option.tokens());
      }
    }
    if (requests.size() <= engines.size()) {
      return Optional.empty();
    }
    RequestSize size = new RequestSize(tokens, 0);
    return Optional.of(
        new LoadNeed(adapter, 0, size, requests.get(0).flow(), Set.of(), Optional.empty()));
  }
}
