package io.sequoiapass.testbed.standin;

import java.util.List;

/** Messages of the engine's interface; Gson writes and reads them by field name. */
final class EngineMessages {

  private EngineMessages() {}

  /** Priority of queued streams, highest first. */
  enum Priority {
    DEADLINE,
    INTERACTIVE,
    BATCH
  }

  /** Types of orders to an engine. */
  enum OrderType {
    LOAD,
    UNLOAD,
    ROLE
  }

  /** State of an adapter slot. */
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

  /** The last frame of a stream; {@code tokens} is the length of the complete answer. */
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

  /** The rejection of an order with an outdated fencing number. */
  record StaleFence(String error, long fence) {}

  /** One slot in {@link State}. */
  record SlotView(String handle, String adapter, String version, SlotState state, int streams) {}

  /** One unfinished stream in {@link State}. */
  record RunningView(String requestId, int attempt, String adapter, String version, int tokens) {}

  /** The current state of the engine, without lag. */
  record State(
      String endpoint,
      String boot,
      long fence,
      String role,
      List<SlotView> slots,
      List<RunningView> running) {}

  /** The load report, which lags behind the state. */
  record LoadReport(int streams, int queued, long atMs) {}

  /** A request for the KV cache of another request. */
  record KvName(String requestId) {}

  /** A request's KV cache. */
  record KvBlob(String requestId, String adapter, String version, int tokens) {}
}
