package io.sequoiapass.daemon.connection.engine;

import com.google.gson.annotations.SerializedName;
import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.VersionId;

/**
 * Is one event of an engine's stream, as Gson reads it: a token, or with {@code done} the end.
 *
 * <p>Not changed once read.
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

  /** Returns the request that the engine says it answers; null if it names none. */
  public String requestId() {
    return requestId;
  }

  /** Returns the attempt that the engine says it answers. */
  public int attempt() {
    return attempt;
  }

  /** Returns the token's place in the answer, from 0. */
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

  /** Returns the length of the whole answer, at its end. */
  public int tokens() {
    return tokens;
  }

  /** Returns how long the request waited for its adapter, in milliseconds, at the end. */
  public long stalledMs() {
    return stalledMs;
  }

  /**
   * Returns the adapter and version that the engine says it ran on.
   *
   * @throws IllegalArgumentException if the engine names none
   */
  public AdapterVersion ranOn() {
    return new AdapterVersion(new AdapterId(adapter), new VersionId(version));
  }
}
