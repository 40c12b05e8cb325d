package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.StreamVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * One question to all other daemons about the versions of some streams.
 *
 * <p>A stream is found as soon as one daemon knows it, and unknown once all have replied or failed.
 * Safe for use by several threads.
 */
final class StreamSearch {

  private final Map<Long, CompletableFuture<Optional<StreamVersion>>> open;
  private int pending;

  /**
   * Creates a search.
   *
   * @param streams receive the version of each stream, by its key
   * @param asked the number of daemons that are asked
   */
  StreamSearch(Map<Long, CompletableFuture<Optional<StreamVersion>>> streams, int asked) {
    this.open = new HashMap<>(streams);
    this.pending = asked;
    if (asked == 0) {
      endAll();
    }
  }

  /** Records what one daemon knows. */
  void replied(Map<StreamVersion, List<Long>> known) {
    known.forEach((version, keys) -> keys.forEach(key -> complete(key, Optional.of(version))));
    ended();
  }

  /** Records that one daemon does not reply. */
  void failed() {
    ended();
  }

  private void ended() {
    boolean last;
    synchronized (this) {
      last = --pending == 0;
    }
    if (last) {
      endAll();
    }
  }

  private void endAll() {
    List<Long> unknown;
    synchronized (this) {
      unknown = List.copyOf(open.keySet());
    }
    unknown.forEach(key -> complete(key, Optional.empty()));
  }

  private void complete(long key, Optional<StreamVersion> version) {
    CompletableFuture<Optional<StreamVersion>> stream;
    synchronized (this) {
      stream = open.remove(key);
    }
    if (stream != null) {
      stream.complete(version);
    }
  }
}
