package io.sequoiapass.testbed.standin;

import java.util.List;

/** Holds the messages of the engine's interface, as JSON names them. */
final class EngineMessages {

  private EngineMessages() {}

  /** Orders waiting streams; the engine takes the first first. */
  enum Priority {
    DEADLINE,
    INTERACTIVE,
    BATCH
  }

  /** Names the orders that an engine takes. */
  enum OrderType {
    LOAD,
    UNLOAD,
    ROLE
  }

  /** Tells how far a slot's load has come. */
  enum SlotState {
    LOADING,
    READY
  }

  /** A request for a stream of tokens. */
  record Completion(
      String requestId,
      int attempt,
      String adapter,
      String version,
      String handle,
      String prompt,
      int maxTokens,
      Priority priority,
      int resumeFrom) {

    Completion {
      if (requestId == null || adapter == null || version == null || maxTokens < 1) {
        throw new IllegalArgumentException(
            "needs request_id, adapter, version and max_tokens of 1 or more: " + requestId);
      }
      if (resumeFrom < 0 || resumeFrom > maxTokens) {
        throw new IllegalArgumentException("resume_from out of range: " + resumeFrom);
      }
      prompt = prompt == null ? "" : prompt;
      priority = priority == null ? Priority.INTERACTIVE : priority;
    }
  }

  /** One token on the stream. */
  record Token(
      String requestId, int attempt, int index, String token, String adapter, String version) {}

  /** The stream's last frame; {@code tokens} counts from the answer's first token. */
  record Done(
      String requestId,
      int attempt,
      boolean done,
      int tokens,
      String adapter,
      String version,
      long stalledMs) {}

  /** An order from the endpoint's owner. */
  record Order(
      OrderType order, long fence, String adapter, String version, String handle, String role) {

    Order {
      if (order == null) {
        throw new IllegalArgumentException("needs an order: LOAD, UNLOAD or ROLE");
      }
    }
  }

  /** The answer to a load. */
  record Loaded(String handle) {}

  /** The refusal of an order with an old fencing number. */
  record StaleFence(String error, long fence) {}

  /** One slot in the state. */
  record SlotView(String handle, String adapter, String version, SlotState state, int streams) {}

  /** One stream in the state. */
  record RunningView(String requestId, int attempt, String adapter, String version, int tokens) {}

  /** The exact state. */
  record State(
      String endpoint,
      String boot,
      long fence,
      String role,
      List<SlotView> slots,
      List<RunningView> running) {}

  /** The lagging load report. */
  record LoadReport(int streams, int queued, long atMs) {}

  /** Names a request whose KV cache is meant. */
  record KvName(String requestId) {}

  /** A request's KV cache. */
  record KvBlob(String requestId, String adapter, String version, int tokens) {}
}
