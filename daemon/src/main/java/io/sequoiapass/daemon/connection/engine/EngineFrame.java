package io.sequoiapass.daemon.connection.engine;

import com.google.gson.annotations.SerializedName;
import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.VersionId;

/**
 * One event of an engine's stream: a token or, if {@code done} is set, the end. Read by Gson and
 * not modified afterwards.
 */
public final class EngineFrame {

  @SerializedName("request_id")
  private String requestId;

  private int attempt;
  private int index;
  private String token;
  private String adapter;
  private String version;
  private boolean done;
  private int tokens;

  @SerializedName("stalled_ms")
  private long stalledMs;

  /** Returns the request ID that the engine reports; null if it reports none. */
  public String requestId() {
    return requestId;
  }

  /** Returns the attempt number that the engine reports. */
  public int attempt() {
    return attempt;
  }

  /** Returns the index of the token in the answer, from 0. */
  public int index() {
    return index;
  }

  /** Returns the token; null at the end of the stream. */
  public String token() {
    return token;
  }

  /** Returns whether this ends the stream. */
  public boolean done() {
    return done;
  }

  /** Returns the length of the complete answer in tokens; set in the last frame. */
  public int tokens() {
    return tokens;
  }

  /**
   * Returns how long the request waited for its adapter, in milliseconds; set in the last frame.
   */
  public long stalledMs() {
    return stalledMs;
  }

  /**
   * Returns the adapter and version that the engine reports to have run.
   *
   * @throws IllegalArgumentException if the engine reports none
   */
  public AdapterVersion ranOn() {
    return new AdapterVersion(new AdapterId(adapter), new VersionId(version));
  }
}
