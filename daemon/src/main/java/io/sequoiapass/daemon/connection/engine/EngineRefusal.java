package io.sequoiapass.daemon.connection.engine;

/** Reason why an engine refuses a request or an order. */
public enum EngineRefusal {
  /** The adapter and version are not loaded under this handle. */
  NOT_LOADED("not_loaded"),
  /** The engine runs its maximum number of streams. */
  BUSY("busy"),
  /** No slot is free. */
  NO_SLOT("no_slot"),
  /** The weights could not be loaded. */
  LOAD_FAILED("load_failed"),
  /** The engine has seen a higher fencing number than the order's. */
  STALE_FENCE("stale_fence"),
  /** The handle belongs to no current load. */
  NO_SUCH_HANDLE("no_such_handle"),
  /** The engine holds no such stream. */
  NO_SUCH_STREAM("no_such_stream"),
  /** Any other error. */
  OTHER("");

  private final String code;

  EngineRefusal(String code) {
    this.code = code;
  }

  /** Returns the refusal for an error code of the engine protocol; {@link #OTHER} if unknown. */
  static EngineRefusal of(String code) {
    for (EngineRefusal refusal : values()) {
      if (refusal.code.equals(code)) {
        return refusal;
      }
    }
    return OTHER;
  }
}
