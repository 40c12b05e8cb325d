package io.sequoiapass.gateway.connection;

import java.util.Locale;

/** What a service has too little of during a shortage. */
public enum Room {
  /** Slots for adapters; requests whose adapter some endpoint holds need none. */
  ADAPTER_SLOTS {
    @Override
    public boolean isNeeded(boolean adapterHeld) {
      return !adapterHeld;
    }
  },
  /** Time of engines to read prompts. */
  ENGINE_TIME,
  /** Slots of endpoints for calls. */
  CALL_SLOTS;

  /**
   * Returns whether a request needs this room.
   *
   * @param adapterHeld whether some endpoint holds or loads its adapter, or it needs none
   */
  public boolean isNeeded(boolean adapterHeld) {
    return true;
  }

  /** Returns the name in logs and metrics. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
