package io.sequoiapass.testbed.capacity;

import io.sequoiapass.daemon.connection.peer.PeerFrameException;
import io.sequoiapass.daemon.connection.peer.PeerFrames;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Micro-benchmarks of time and memory in this process. */
final class MicroBenchmark {

  /** Overhead of a frame: 4 bytes of length, TCP header with time stamps, IP header. */
  static final int FRAME_OVERHEAD_BYTES = 4 + 32 + 20;

  private static final int WARM_UP_CALLS = 3_000;
  private static final int ROUNDS = 9;
  private static final long MIN_ROUND_NANOS = 60_000_000;
  private static final int COPIES = 4;
  private static final double BYTES_PER_MEGABYTE = 1 << 20;
  private static final double NANOS_PER_MICRO = 1_000;

  /** Keeps results reachable, which prevents dead-code elimination by the compiler. */
  @SuppressWarnings("UnusedVariable")
  private static volatile Object sink;

  private MicroBenchmark() {}

  /** A counter. Not safe for use by several threads. */
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

  /** Returns the median over several rounds of the mean time of a call, in microseconds. */
  static double microsOf(Supplier<Object> call) {
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      sink = call.get();
    }
    List<Double> rounds = new ArrayList<>();
    for (int i = 0; i < ROUNDS; i++) {
      rounds.add(measureRound(call));
    }
    rounds.sort(null);
    return rounds.get(ROUNDS / 2);
  }

  private static double measureRound(Supplier<Object> call) {
    long startNanos = System.nanoTime();
    long calls = 0;
    long elapsed;
    do {
      sink = call.get();
      calls++;
      elapsed = System.nanoTime() - startNanos;
    } while (elapsed < MIN_ROUND_NANOS);
    return elapsed / NANOS_PER_MICRO / calls;
  }

  /** Returns the mean heap size that a result of a call retains, in megabytes. */
  static double megabytesOf(Supplier<Object> make) {
    List<Object> kept = new ArrayList<>();
    long before = usedBytes();
    for (int i = 0; i < COPIES; i++) {
      kept.add(make.get());
    }
    long after = usedBytes();
    sink = kept;
    return (after - before) / BYTES_PER_MEGABYTE / kept.size();
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    System.gc();
    System.gc();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  static PeerMessage decode(byte[] frame) {
    try {
      return PeerFrames.decode(frame);
    } catch (PeerFrameException e) {
      throw new IllegalStateException("cannot decode a frame that this process encoded", e);
    }
  }
}
