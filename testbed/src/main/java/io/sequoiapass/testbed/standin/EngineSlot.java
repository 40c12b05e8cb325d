package io.sequoiapass.testbed.standin;

import io.sequoiapass.testbed.standin.EngineMessages.SlotState;

/** An adapter slot in use; compared by identity. */
final class EngineSlot {

  private final String handle;
  private final String adapter;
  private final String version;
  private SlotState state = SlotState.LOADING;

  EngineSlot(String handle, String adapter, String version) {
    this.handle = handle;
    this.adapter = adapter;
    this.version = version;
  }

  String handle() {
    return handle;
  }

  String adapter() {
    return adapter;
  }

  String version() {
    return version;
  }

  SlotState state() {
    return state;
  }

  void markReady() {
    state = SlotState.READY;
  }

  /** Returns whether this slot can run a request for an adapter, version and optional handle. */
  boolean serves(String wantedAdapter, String wantedVersion, String wantedHandle) {
    return state == SlotState.READY
        && adapter.equals(wantedAdapter)
        && version.equals(wantedVersion)
        && (wantedHandle == null || wantedHandle.isEmpty() || handle.equals(wantedHandle));
  }
}
