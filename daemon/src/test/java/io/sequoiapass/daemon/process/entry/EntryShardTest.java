package io.sequoiapass.daemon.process.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.VersionId;
import io.sequoiapass.coordination.request.AttemptSettings;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.coordination.request.Repeatability;
import io.sequoiapass.coordination.request.RetryBudget;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.ConfigurationStore;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerMessage.AttemptId;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import io.sequoiapass.daemon.request.CallerRequest;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class EntryShardTest {

  private static final AdapterVersion ADAPTER =
      new AdapterVersion(new AdapterId("notes"), new VersionId("v1"));
  private static final ModelId MODEL = new ModelId("base");
  private static final RequestId ID = new RequestId("r~d1.1");
  private static final long DEADLINE_MS = 20_000;

  private long now;
  private final Link link = new Link();
  private final List<Outcome> ended = new ArrayList<>();
  private final EntryShard shard =
      new EntryShard(
          () -> now,
          new OneRoute(),
          AttemptSettings.DEFAULT,
          new RetryBudget(0.1, 20),
          new Ends(),
          new NoRecords());

  // The connections to all owners close for some hundred milliseconds while a caller has received
  // part of its answer, so every attempt to resume fails to send. If each counted as one of the
  // four attempts of a request, the caller would receive UNKNOWN with 20 s of its deadline left.
  @Test
  void closedConnectionsDoNotCountAsAttempts() {
    shard.accept(request(), ConfigurationStore.create(DEADLINE_MS).snapshot(), new Caller());
    shard.received(new PeerMessage.Tokens(new AttemptId(ID, 1), ADAPTER, 0, List.of("a")));
    link.open = false;
    shard.ownerLost(link);
    for (now = 0; now < 1_000; now += 20) {
      shard.tick();
    }
    assertThat(ended).isEmpty();

    link.open = true;
    link.sent.clear();
    now += AttemptSettings.DEFAULT.ownerRetryIntervalMillis();
    shard.tick();

    assertThat(link.sent).hasSize(1).first().isInstanceOf(PeerMessage.Forward.class);
  }

  private static CallerRequest request() {
    return new CallerRequest(
        "caller",
        ID,
        new ForwardedWork.Completion(ADAPTER, MODEL, Priority.INTERACTIVE, "p", 5, 0),
        new RouteTarget.Engine(MODEL, ADAPTER),
        Repeatability.REPEATABLE,
        Priority.INTERACTIVE,
        Optional.empty(),
        DEADLINE_MS,
        true);
  }

  private final class OneRoute implements Routes {
    @Override
    public Optional<Route> find(
        RouteTarget target,
        ConfigurationSnapshot snapshot,
        Optional<EndpointId> prefer,
        Set<EndpointId> avoid) {
      return Optional.of(new Route(new EndpointId("e1"), link));
    }

    @Override
    public void updateLoads(List<EndpointLoad> loads) {}
  }

  private static final class Link implements PeerChannel {
    private final List<PeerMessage> sent = new ArrayList<>();
    private boolean open = true;

    @Override
    public boolean send(PeerMessage message) {
      return open && sent.add(message);
    }

    @Override
    public boolean writable() {
      return true;
    }

    @Override
    public void close() {}
  }

  private final class Ends implements EntryObserver {
    @Override
    public void accepted(CallerRequest request) {}

    @Override
    public void routed(CallerRequest request, int attempt, EndpointId endpoint) {}

    @Override
    public void firstToken(CallerRequest request) {}

    @Override
    public void ended(CallerRequest request, Outcome outcome) {
      ended.add(outcome);
    }
  }

  private static final class NoRecords implements StartRecords {
    @Override
    public void record(CallerRequest request, Consumer<Optional<ErrorKind>> answer) {}

    @Override
    public void finished(CallerRequest request, OutcomeClass outcome) {}
  }

  private static final class Caller implements HttpResponder {
    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {}

    @Override
    public void respond(int status, Map<String, String> headers, String json) {}

    @Override
    public void begin(int status, Map<String, String> headers) {}

    @Override
    public void write(byte[] part) {}

    @Override
    public void end() {}

    @Override
    public void abort() {}

    @Override
    public boolean writable() {
      return true;
    }

    @Override
    public void onWritable(Runnable action) {}

    @Override
    public void onClose(Runnable action) {}
  }
}
