package io.sequoiapass.testbed.capacity;

import io.sequoiapass.daemon.connection.peer.PeerFrameException;
import io.sequoiapass.daemon.connection.peer.PeerFrames;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Measures time and memory of small pieces of code in this process. */
final class Gauge {

  /** What carries a frame on the wire: 4 bytes of length, TCP with time stamps, IP. */
  static final int PACKET_BYTES = 4 + 32 + 20;

  private static final int WARM_UP_CALLS = 3_000;
  private static final int ROUNDS = 9;
  private static final long ROUND_NANOS = 60_000_000;
  private static final int COPIES = 4;
  private static final double BYTES_PER_MEGABYTE = 1 << 20;
  private static final double NANOS_PER_MICRO = 1_000;

  /** Keeps results alive so that the compiler cannot leave their work out. */
  @SuppressWarnings("UnusedVariable")
  private static volatile Object sink;

  private Gauge() {}

  /** Counts on; not safe for use by several threads. */
  static final class Counter {
    private long value;

    Counter(long start) {
      value = start;
    }

    int next() {
      value++;
      return (int) value;
    }
  }

  /** Returns the median time of a call over several rounds, in microseconds. */
  static double microsOf(Supplier<Object> call) {
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      sink = call.get();
    }
    List<Double> rounds = new ArrayList<>();
    for (int i = 0; i < ROUNDS; i++) {
      rounds.add(round(call));
    }
    rounds.sort(null);
    return rounds.get(ROUNDS / 2);
  }

  private static double round(Supplier<Object> call) {
    long begun = System.nanoTime();
    long calls = 0;
    long elapsed;
    do {
      sink = call.get();
      calls++;
      elapsed = System.nanoTime() - begun;
    } while (elapsed < ROUND_NANOS);
    return elapsed / NANOS_PER_MICRO / calls;
  }

  /** Returns the heap that one result of a call keeps, in megabytes, as the mean of several. */
  static double megabytesOf(Supplier<Object> make) {
    List<Object> kept = new ArrayList<>();
    long before = used();
    for (int i = 0; i < COPIES; i++) {
      kept.add(make.get());
    }
    long after = used();
    sink = kept;
    return (after - before) / BYTES_PER_MEGABYTE / kept.size();
  }

  private static long used() {
    Runtime runtime = Runtime.getRuntime();
    System.gc();
    System.gc();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  static PeerMessage decode(byte[] frame) {
    try {
      return PeerFrames.decode(frame);
    } catch (PeerFrameException e) {
      throw new IllegalStateException("a frame of our own", e);
    }
  }
}
