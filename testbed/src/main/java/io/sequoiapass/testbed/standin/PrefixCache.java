package io.sequoiapass.testbed.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * LRU cache of prompt prefixes whose change events are delayed and partly lost; confined to one
 * event loop.
 */
final class PrefixCache {

  /** Uncached prompt characters that one prefill step processes. */
  private static final int CHARS_PER_STEP = 2_048;

  /** Length of a cached prefix in characters. */
  private static final int PREFIX_CHARS = 256;

  private static final int MAX_EVENTS = 1_000;

  private final int capacity;
  private final int lagMs;
  private final double loss;
  private final EventLoop loop;
  private final Random random;
  private final LinkedHashMap<Prefix, Boolean> cached = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Event> reported = new ArrayDeque<>();
  private long sequence;

  PrefixCache(EngineSettings settings, EventLoop loop) {
    this.capacity = settings.prefixes();
    this.lagMs = settings.eventLagMs();
    this.loss = settings.eventLoss();
    this.loop = loop;
    this.random = new Random(settings.seed());
  }

  boolean holds(EngineSlot slot, String prompt) {
    return cached.get(prefix(slot, prompt)) != null;
  }

  /** Returns the number of prefill steps before the first token. */
  int prefillSteps(boolean hit, String prompt) {
    int uncached = hit ? Math.max(0, prompt.length() - PREFIX_CHARS) : prompt.length();
    return uncached / CHARS_PER_STEP;
  }

  void add(EngineSlot slot, String prompt) {
    Prefix prefix = prefix(slot, prompt);
    if (capacity == 0 || cached.put(prefix, true) != null) {
      return;
    }
    report(EventType.ADDED, prefix);
    if (cached.size() > capacity) {
      Iterator<Prefix> oldest = cached.keySet().iterator();
      Prefix evicted = oldest.next();
      oldest.remove();
      report(EventType.EVICTED, evicted);
    }
  }

  void clear() {
    cached.clear();
  }

  private static Prefix prefix(EngineSlot slot, String prompt) {
    String start = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    return new Prefix(slot.adapter(), slot.version(), Integer.toHexString(start.hashCode()));
  }

  private void report(EventType type, Prefix prefix) {
    sequence++;
    Event event = new Event(sequence, type, prefix.adapter, prefix.version, prefix.hash);
    if (random.nextDouble() >= loss) {
      loop.schedule(() -> publish(event), lagMs, TimeUnit.MILLISECONDS);
    }
  }

  private void publish(Event event) {
    reported.addLast(event);
    if (reported.size() > MAX_EVENTS) {
      reported.removeFirst();
    }
  }

  List<Event> eventsAfter(long after) {
    return reported.stream().filter(event -> event.sequence() > after).toList();
  }

  /** Type of a cache event. */
  enum EventType {
    ADDED,
    EVICTED
  }

  /** One change of the cache; a gap in the sequence numbers is a lost event. */
  record Event(long sequence, EventType type, String adapter, String version, String prefix) {}

  /** The answer to a call for events. */
  record Events(List<Event> events) {}

  private record Prefix(String adapter, String version, String hash) {}
}
