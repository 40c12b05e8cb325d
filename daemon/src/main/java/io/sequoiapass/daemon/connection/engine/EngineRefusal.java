package io.sequoiapass.daemon.connection.engine;

/** Lists why an engine does not take a request or order. */
public enum EngineRefusal {
  /** The adapter and version are not loaded under this handle. */
  NOT_LOADED("not_loaded"),
  /** The engine runs as many streams as it can. */
  BUSY("busy"),
  /** No slot is free. */
  NO_SLOT("no_slot"),
  /** The weights could not be loaded. */
  LOAD_FAILED("load_failed"),
  /** The order's fencing number is older than one seen. */
  STALE_FENCE("stale_fence"),
  /** The handle names no load, or a former one. */
  NO_SUCH_HANDLE("no_such_handle"),
  /** The engine knows no such stream. */
  NO_SUCH_STREAM("no_such_stream"),
  /** Anything else. */
  OTHER("");

  private final String code;

  EngineRefusal(String code) {
    this.code = code;
  }

  /** Returns the refusal of an error code of the engine's protocol. */
  static EngineRefusal of(String code) {
    for (EngineRefusal refusal : values()) {
      if (refusal.code.equals(code)) {
        return refusal;
      }
    }
    return OTHER;
  }
}
