package io.sequoiapass.daemon.connection.engine;

import com.google.gson.annotations.SerializedName;
import java.util.List;

/**
 * Snapshot of the slots and streams of an engine; exact, unlike its load reports. Read by Gson and
 * not modified afterwards.
 */
public final class EngineState {

  private String boot;
  private long fence;
  private List<Slot> slots = List.of();
  private List<Running> running = List.of();

  /** Returns an identifier that changes with each start of the engine. */
  public String boot() {
    return boot;
  }

  /** Returns the highest fencing number that the engine has seen. */
  public long fence() {
    return fence;
  }

  /** Returns the slots in use. */
  public List<Slot> slots() {
    return slots;
  }

  /** Returns the running streams. */
  public List<Running> running() {
    return running;
  }

  /** A slot in use. */
  public static final class Slot {
    private String handle;
    private String adapter;
    private String version;
    private String state;
    private int streams;

    /** Returns the handle of the load. */
    public String handle() {
      return handle;
    }

    /** Returns the adapter's name. */
    public String adapter() {
      return adapter;
    }

    /** Returns the adapter's version. */
    public String version() {
      return version;
    }

    /** Returns whether the adapter is loaded, so that requests can run on it. */
    public boolean ready() {
      return "READY".equals(state);
    }

    /** Returns the number of streams that run on this slot. */
    public int streams() {
      return streams;
    }
  }

  /** A running stream. */
  public static final class Running {
    @SerializedName("request_id")
    private String requestId;

    private int attempt;
    private String adapter;
    private String version;

    /** Returns whether this stream runs on the adapter and version of a slot. */
    public boolean isOn(Slot slot) {
      return slot.adapter().equals(adapter) && slot.version().equals(version);
    }

    /** Returns the request ID. */
    public String requestId() {
      return requestId;
    }

    /** Returns the attempt number. */
    public int attempt() {
      return attempt;
    }
  }
}
