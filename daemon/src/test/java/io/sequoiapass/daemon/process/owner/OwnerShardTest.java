package io.sequoiapass.daemon.process.owner;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.process.OrderKind;
import io.sequoiapass.coordination.request.AttemptAction.Mode;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.daemon.connection.engine.EngineClient;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.process.placement.LruPlacement;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OwnerShardTest {

  private static final EndpointId ENDPOINT = new EndpointId("e1");
  private static final ModelId MODEL = new ModelId("base");
  private static final long LIMIT_MS = 5_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CompletableFuture<String> engineState = new CompletableFuture<>();
  private final BlockingQueue<String> engineCalls = new LinkedBlockingQueue<>();
  private final Replies replies = new Replies();
  private HttpServer engine;
  private OwnerShard shard;

  @BeforeEach
  void start() throws IOException {
    engine =
        HttpServer.builder(group, this::answer)
            .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    shard =
        new OwnerShard(
            MillisClock.monotonic(),
            new LruPlacement(),
            new EngineClient(HttpClient.create(group, 500)),
            new PermissiveGate(),
            new NoOpObserver(),
            Optional.empty());
  }

  @AfterEach
  void stop() {
    engine.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void answer(HttpRequestMessage request, HttpResponder responder) {
    engineCalls.add(request.path());
    if (request.text().contains("UNLOAD")) {
      responder.respond(404, Map.of(), "{\"error\":\"no_such_handle\"}");
    } else if (request.path().equals("/v1/state")) {
      engineState.thenAccept(state -> responder.respond(200, Map.of(), state));
    }
  }

  private void own(int port) {
    shard.own(
        new OwnedEndpoint(
            ENDPOINT, new InetSocketAddress(InetAddress.getLoopbackAddress(), port), MODEL, 4, 16));
  }

  private void submit(long remainingMs) {
    ForwardedWork work =
        new ForwardedWork.Completion(
            AdapterVersion.parse("notes@v1"), MODEL, Priority.INTERACTIVE, "p", 4, 0);
    shard.submit(
        new PeerMessage.Forward(
            new PeerMessage.AttemptId(new RequestId("r~d.1"), 1),
            ENDPOINT,
            work,
            Mode.RUN,
            remainingMs,
            false),
        replies);
  }

  /**
   * Guards against a change of owner under load that fails the requests of the first round trip.
   * Requests that arrive before the engine has reported what it holds must be held until it
   * answers, not refused with NO_ENDPOINT.
   */
  @Nested
  class AfterTakeover {

    @Test
    void requestIsHeldUntilEngineReportsItsState() throws InterruptedException {
      own(engine.port());
      submit(LIMIT_MS);
      shard.tick();
      assertThat(engineCalls.poll(LIMIT_MS, TimeUnit.MILLISECONDS))
          .as("the fencing number is raised before the engine's state is read")
          .isEqualTo("/v1/orders");
      assertThat(engineCalls.poll(LIMIT_MS, TimeUnit.MILLISECONDS)).isEqualTo("/v1/state");
      assertThat(replies.messages).isEmpty();

      engineState.complete("{\"endpoint\":\"e1\",\"boot\":\"b1\",\"slots\":[],\"running\":[]}");

      assertThat(engineCalls.poll(LIMIT_MS, TimeUnit.MILLISECONDS)).isEqualTo("/v1/orders");
      assertThat(replies.messages).isEmpty();
    }

    @Test
    void heldRequestIsRefusedWhenEngineIsUnreachable() throws InterruptedException {
      int port = engine.port();
      engine.close();
      own(port);
      submit(LIMIT_MS);
      shard.tick();
      PeerMessage reply = replies.messages.poll(LIMIT_MS, TimeUnit.MILLISECONDS);
      assertThat(reply).isInstanceOf(PeerMessage.Refused.class);
    }

    @Test
    void heldRequestIsRefusedAtDeadline() throws InterruptedException {
      own(engine.port());
      submit(0);
      shard.tick();
      PeerMessage reply = replies.messages.poll(LIMIT_MS, TimeUnit.MILLISECONDS);
      assertThat(reply).isInstanceOf(PeerMessage.Refused.class);
    }
  }

  private static final class Replies implements PeerChannel {
    private final BlockingQueue<PeerMessage> messages = new LinkedBlockingQueue<>();

    @Override
    public boolean send(PeerMessage message) {
      return messages.add(message);
    }

    @Override
    public boolean writable() {
      return true;
    }

    @Override
    public void close() {}
  }

  private static final class PermissiveGate implements OrderGate {
    @Override
    public Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind) {
      return Optional.of(new FencingNumber(1));
    }

    @Override
    public boolean mayOthersServe() {
      return false;
    }
  }

  private static final class NoOpObserver implements OwnerObserver {
    @Override
    public void started(
        PeerMessage.AttemptId id, AdapterVersion adapter, EndpointId endpoint, long waitedMs) {}

    @Override
    public void loadBegun(EndpointId endpoint, AdapterVersion adapter, boolean evicts) {}

    @Override
    public void loadEnded(
        EndpointId endpoint, AdapterVersion adapter, long tookMs, boolean loaded) {}

    @Override
    public void endpointJoined(EndpointId endpoint, boolean restarted) {}

    @Override
    public void endpointUnreachable(EndpointId endpoint) {}

    @Override
    public void overloaded(PeerMessage.AttemptId id, ErrorKind kind, long waitedMs) {}
  }
}
