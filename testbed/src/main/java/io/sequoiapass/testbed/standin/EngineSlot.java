package io.sequoiapass.testbed.standin;

import io.sequoiapass.testbed.standin.EngineMessages.SlotState;

/** Holds one adapter's load; compared by identity. */
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

  void ready() {
    state = SlotState.READY;
  }

  /** Returns whether a request for this adapter, version and handle may run here. */
  boolean serves(String wantedAdapter, String wantedVersion, String wantedHandle) {
    return state == SlotState.READY
        && adapter.equals(wantedAdapter)
        && version.equals(wantedVersion)
        && (wantedHandle == null || wantedHandle.isEmpty() || handle.equals(wantedHandle));
  }
}
