package io.sequoiapass.daemon.connection.engine;

import com.google.gson.annotations.SerializedName;
import java.util.List;

/**
 * Is what an engine holds and runs at one moment, as Gson reads it; exact, unlike its load reports.
 *
 * <p>Not changed once read.
 */
public final class EngineState {

  private String boot;
  private long fence;
  private List<Slot> slots = List.of();
  private List<Running> running = List.of();

  /** Returns a text that changes with each start of the engine. */
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

  /** Returns the streams that run. */
  public List<Running> running() {
    return running;
  }

  /** Is one slot in use. */
  public static final class Slot {
    private String handle;
    private String adapter;
    private String version;
    private String state;
    private int streams;

    /** Returns the load's handle. */
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

    /** Returns whether requests can run on it. */
    public boolean ready() {
      return "READY".equals(state);
    }

    /** Returns how many streams run on it. */
    public int streams() {
      return streams;
    }
  }

  /** Is one stream that runs. */
  public static final class Running {
    @SerializedName("request_id")
    private String requestId;

    private int attempt;
    private String adapter;
    private String version;

    /** Returns whether it runs on what a slot holds. */
    public boolean isOn(Slot slot) {
      return slot.adapter().equals(adapter) && slot.version().equals(version);
    }

    /** Returns the request. */
    public String requestId() {
      return requestId;
    }

    /** Returns the attempt. */
    public int attempt() {
      return attempt;
    }
  }
}
