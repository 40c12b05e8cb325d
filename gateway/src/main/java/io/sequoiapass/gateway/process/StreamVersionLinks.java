package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.PeerRequest;
import io.sequoiapass.gateway.connection.StreamVersionFrames;
import io.sequoiapass.gateway.version.StreamVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Tells other daemons which software versions began this daemon's streams, asks them about streams
 * that began elsewhere, and answers such questions.
 *
 * <p>Safe for use by several threads.
 */
final class StreamVersionLinks {

  /** The path of messages about streams; requests of peers have a header instead. */
  static final String PATH = "/peer/streams";

  /** Header of an answer that identifies the process. */
  static final String PROCESS_HEADER = "Peer-Process";

  /** Shortest interval between batches, in milliseconds. */
  static final long INTERVAL_MS = 300;

  /** Maximum time until a batch is acknowledged, in milliseconds. */
  private static final long DELIVERY_MS = 500;

  /** Maximum time until an answer about a stream, in milliseconds; its caller waits for it. */
  private static final long SEARCH_MS = 250;

  /** How long questions are collected, in milliseconds: a daemon that fails breaks many streams. */
  private static final long COLLECT_MS = 5;

  private static final int OK = 200;
  private static final int MALFORMED = 400;

  private final StreamVersions versions;
  private final MemberDirectory members;
  private final StreamReplication replication;
  private final HttpClient http;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final TaskGuard guard;
  private final String process = Long.toHexString(ThreadLocalRandom.current().nextLong());
  private Map<Long, CompletableFuture<Optional<StreamVersion>>> collected = new HashMap<>();

  /**
   * Creates links that send nothing until {@link #start}.
   *
   * @param versions the streams
   * @param members the other daemons
   * @param http opens connections to them
   * @param loop runs timers
   * @param clock the monotonic clock
   */
  StreamVersionLinks(
      StreamVersions versions,
      MemberDirectory members,
      HttpClient http,
      ScheduledExecutorService loop,
      MillisClock clock,
      TaskGuard guard) {
    this.versions = versions;
    this.members = members;
    this.replication = new StreamReplication(versions);
    this.http = http;
    this.loop = loop;
    this.clock = clock;
    this.guard = guard;
  }

  /** Starts to send batches. */
  void start() {
    loop.scheduleWithFixedDelay(
        guard.guarded("stream records", this::tick),
        INTERVAL_MS,
        INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void tick() {
    replication.due(members.ranked(), clock.millis()).forEach(this::deliver);
  }

  private void deliver(StreamReplication.Batch batch) {
    send(batch.to(), "PUT", StreamVersionFrames.encode(batch.streams()), DELIVERY_MS)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null && answer.status() == OK) {
                replication.delivered(batch, answer.headers().get(PROCESS_HEADER, ""));
              } else {
                replication.failed(batch, clock.millis());
              }
            });
  }

  /** Returns the daemons that are to get a stream before its first event is sent. */
  List<LinkMessage.Member> recordKeepers() {
    return replication.recordKeepers();
  }

  private CompletableFuture<HttpAnswer> send(
      LinkMessage.Member to, String method, byte[] body, long timeoutMs) {
    return http.send(HttpCall.to(to.address(), method, PATH).body(body), timeoutMs);
  }

  /**
   * Finds the version that began a stream; empty if no daemon that can be reached knows it.
   *
   * @param requestId the caller's attempt that brought the first event
   */
  CompletableFuture<Optional<StreamVersion>> find(String requestId) {
    long key = StreamVersions.key(requestId);
    Optional<StreamVersion> known = versions.find(key);
    if (known.isPresent()) {
      return CompletableFuture.completedFuture(known);
    }
    synchronized (this) {
      if (collected.isEmpty()) {
        loop.schedule(this::search, COLLECT_MS, TimeUnit.MILLISECONDS);
      }
      return collected
          .computeIfAbsent(key, any -> new CompletableFuture<>())
          .whenComplete((found, failure) -> found.ifPresent(one -> versions.learned(key, one)));
    }
  }

  private void search() {
    Map<Long, CompletableFuture<Optional<StreamVersion>>> streams;
    synchronized (this) {
      streams = collected;
      collected = new HashMap<>();
    }
    List<LinkMessage.Member> asked = members.members();
    StreamSearch search = new StreamSearch(streams, asked.size());
    byte[] question = StreamVersionFrames.encodeKeys(List.copyOf(streams.keySet()));
    for (LinkMessage.Member member : asked) {
      send(member, "POST", question, SEARCH_MS)
          .whenComplete((answer, failure) -> replied(search, answer));
    }
  }

  private static void replied(StreamSearch search, HttpAnswer answer) {
    try {
      if (answer != null && answer.status() == OK) {
        search.replied(StreamVersionFrames.decodeStreams(answer.body()));
        return;
      }
    } catch (LinkFrames.FormatException e) {
      // Counts as no reply.
    }
    search.failed();
  }

  /**
   * Returns a handler of the messages of other daemons about streams.
   *
   * @param others handles all other requests
   */
  HttpHandler handler(HttpHandler others) {
    return (request, responder) -> {
      if (request.target().equals(PATH) && request.header(PeerRequest.HEADER).isEmpty()) {
        handle(request, responder);
      } else {
        others.handle(request, responder);
      }
    };
  }

  private void handle(HttpRequestMessage request, HttpResponder responder) {
    try {
      byte[] answer = request.method().equals("PUT") ? keep(request) : known(request);
      responder.respond(OK, Map.of(PROCESS_HEADER, process), answer);
    } catch (LinkFrames.FormatException e) {
      responder.respond(MALFORMED, Map.of(), new byte[0]);
    }
  }

  private byte[] keep(HttpRequestMessage request) throws LinkFrames.FormatException {
    StreamVersionFrames.decodeStreams(request.body())
        .forEach((version, keys) -> keys.forEach(key -> versions.learned(key, version)));
    return new byte[0];
  }

  private byte[] known(HttpRequestMessage request) throws LinkFrames.FormatException {
    Map<StreamVersion, List<Long>> known = new LinkedHashMap<>();
    for (long key : StreamVersionFrames.decodeKeys(request.body())) {
      versions
          .find(key)
          .ifPresent(version -> known.computeIfAbsent(version, any -> new ArrayList<>()).add(key));
    }
    return StreamVersionFrames.encode(known);
  }
}
