package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.connection.RoomMessage;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Two idle engines, and a gate that records its messages, for tests of requests. */
public final class PromptFixtures {

  private static final DataCentreId NORTH = new DataCentreId("north");

  private final List<LinkMessage> sent = new ArrayList<>();
  private final PromptGate gate = new PromptGate(new GatewayMetrics());
  private final EndpointGroup group =
      new EndpointGroup(NORTH, new AdapterVersions(0), any -> {}, () -> 0);
  private boolean connected = true;

  /** Creates engines that hold the base model. */
  public PromptFixtures() {
    group.configure(Optional.of(PlanFixtures.engineOf(8)));
    group.put(PlanFixtures.entry(new EndpointId("e1"), 1, true), true, 0);
    group.put(PlanFixtures.entry(new EndpointId("e2"), 1, true), true, 0);
    gate.use((dataCentre, message) -> connected && sent.add(message), Runnable::run);
  }

  /** Returns the gate. */
  public PromptGate gate() {
    return gate;
  }

  /** Returns the engines. */
  public EndpointGroup group() {
    return group;
  }

  /** Returns and removes the messages to the coordinator. */
  public List<LinkMessage> takeSent() {
    List<LinkMessage> taken = List.copyOf(sent);
    sent.clear();
    return taken;
  }

  /** Returns the requirements of a request with a prompt of a length. */
  public static Demand demand(int promptTokens) {
    return new Demand(
        Optional.of(
            new Generation(PlanFixtures.MODEL, Optional.empty(), promptTokens, 70, List.of())),
        Set.of(),
        Optional.empty(),
        PlanFixtures.FLOW,
        ReusePolicy.ANY,
        20_000);
  }

  /** Returns the choice of an engine. */
  public Choice.Send choose(Demand demand) {
    return (Choice.Send) group.choose(demand, new EndpointChooser.Loadable(List.of(), Map.of()), 0);
  }

  /** Delivers a turn. */
  public void give(long id, EndpointId engine) {
    gate.receive(NORTH, new RoomMessage.PromptTurn(id, engine, 0), 0);
  }

  /** Loses the coordinator. */
  public void lose() {
    connected = false;
    gate.lost(NORTH, 0);
  }
}
