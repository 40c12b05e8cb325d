package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointNotice;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.EngineSpec;
import io.sequoiapass.gateway.version.ModelSpec;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointGroupTest {

  private static final ModelId MODEL = new ModelId("base");
  private static final AdapterName ADAPTER = new AdapterName(MODEL, new AdapterId("a1"));
  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final DataCentreId SOUTH = new DataCentreId("south");
  private static final EngineSpec ENGINE =
      new EngineSpec(
          96, 200_000, 16_500, 8, 4, List.of(new ModelSpec(MODEL, 16_100, 600, a -> true)));
  private static final long GRACE_MS = 2_500;

  private final AdapterVersions versions = new AdapterVersions(GRACE_MS);
  private final List<DataCentreId> idle = new ArrayList<>();
  private final EndpointGroup group = new EndpointGroup(NORTH, versions, idle::add, () -> 0);

  private static EndpointId id(String name) {
    return new EndpointId(name);
  }

  private static EndpointEntry entry(String name, DataCentreId dataCentre, boolean leaving) {
    return new EndpointEntry(
        id(name),
        new ServiceId("notes"),
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
        dataCentre,
        96,
        leaving,
        1,
        SoftwareVersion.UNSTATED,
        List.of(new EndpointEntry.HeldModel(MODEL, 1, Map.of())));
  }

  private static EndpointEntry restarted(EndpointEntry before) {
    return new EndpointEntry(
        before.endpoint(),
        before.service(),
        before.address(),
        before.dataCentre(),
        before.slots(),
        before.leaving(),
        before.startTimeMs() + 1,
        SoftwareVersion.UNSTATED,
        before.models());
  }

  private static Demand demand(int prompt, int output, EndpointId... avoid) {
    Generation generation = new Generation(MODEL, Optional.of(ADAPTER), prompt, output, List.of());
    return new Demand(
        Optional.of(generation),
        Set.of(avoid),
        Optional.empty(),
        PlanFixtures.FLOW,
        ReusePolicy.ANY,
        5_000);
  }

  private void hold(String name, long readyAt) {
    group.setCopy(id(name), ADAPTER, new EndpointState.Copy(1, readyAt, false));
  }

  private Choice choose(Demand demand, long now) {
    return group.choose(demand, new EndpointChooser.Loadable(List.of(NORTH, SOUTH), Map.of()), now);
  }

  private static String sentTo(Choice choice) {
    return ((Choice.Send) choice).candidate().endpoint().value();
  }

  @BeforeEach
  void twoEngines() {
    group.configure(Optional.of(ENGINE));
    group.put(entry("e1", NORTH, false), true, 0);
    group.put(entry("e2", SOUTH, false), true, 0);
  }

  /**
   * Guards against requests that are sent to a slow engine because its load is like that of the
   * others: one engine is four times as slow, and its late requests do not show in its load, since
   * their responses have started.
   */
  @Nested
  class SlowEngine {

    private void begin(String name, long tookMs, long now) {
      EndpointTicket ticket = group.begin(id(name), demand(600, 70), now).orElseThrow();
      ticket.begun(now + tookMs);
      ticket.ended(Recipient.Ending.ANSWERED, now + tookMs + 1);
    }

    @BeforeEach
    void bothHoldTheAdapter() {
      hold("e1", 0);
      hold("e2", 0);
      for (int i = 0; i < 20; i++) {
        begin("e1", 160, 100 + i * 200);
        begin("e2", 40, 100 + i * 200);
      }
    }

    @Test
    void getsFewerRequests() {
      assertThat(sentTo(choose(demand(600, 70), 4_200))).isEqualTo("e2");
    }

    @Test
    void isTakenToReadPromptsMoreSlowly() {
      double speed = group.tokensPerMs(id("e1"), 4_200);

      assertThat(speed).isLessThan(group.tokensPerMs(id("e2"), 4_200) / 2);
    }

    @Test
    void isTriedAgainAfterAWhile() {
      assertThat(sentTo(choose(demand(600, 70), 40_000))).isEqualTo("e1");
    }
  }

  /** Guards against requests to an endpoint beyond the limit that it has named. */
  @Nested
  class LimitedEndpoint {

    private final List<EndpointId> asked = new ArrayList<>();

    @BeforeEach
    void bothHoldTheAdapterAndOneIsLimited() {
      group.usePermits(
          new PermitSource() {
            @Override
            public boolean isConnected(DataCentreId dataCentre) {
              return true;
            }

            @Override
            public int daemons() {
              return 6;
            }

            @Override
            public void ask(
                DataCentreId at, EndpointId endpoint, double perS, int mostAtOnce, long usefulMs) {
              asked.add(endpoint);
            }
          });
      hold("e1", 0);
      hold("e2", 0);
      limit("e1");
    }

    private void limit(String name) {
      EndpointTicket ticket = group.begin(id(name), demand(100, 10), 1).orElseThrow();
      EndpointNotice limited =
          new EndpointNotice(
              OptionalDouble.of(1), OptionalLong.empty(), OptionalInt.empty(), false);
      assertThat(ticket.noticed(limited, true, 10)).isTrue();
      ticket.ended(Recipient.Ending.ANSWERED, 20);
    }

    private void reply(String name, LinkMessage.PermitReply.Type type, long waitMs, long now) {
      group.permitReplied(new LinkMessage.PermitReply(id(name), type, waitMs), now);
    }

    @Test
    void getsARequestOnlyWithAPermit() {
      assertThat(sentTo(choose(demand(100, 10), 30))).isEqualTo("e2");
      assertThat(asked).containsExactly(id("e1"));
      assertThat(group.begin(id("e1"), demand(100, 10), 30)).isEmpty();

      reply("e1", LinkMessage.PermitReply.Type.GRANTED, 1_000, 40);
      assertThat(sentTo(choose(demand(100, 10), 50))).isEqualTo("e1");
      assertThat(group.begin(id("e1"), demand(100, 10), 50)).isPresent();
      assertThat(group.begin(id("e1"), demand(100, 10), 50)).isEmpty();
    }

    @Test
    void isExcludedFromLoadsWhileOthersExist() {
      assertThat(group.excluded(demand(100, 10), 30)).containsExactly(id("e1"));
    }

    @Test
    void requestWaitsIfAllAreLimited() {
      limit("e2");
      reply("e1", LinkMessage.PermitReply.Type.QUEUED, 700, 30);
      reply("e2", LinkMessage.PermitReply.Type.QUEUED, 300, 30);
      Choice.AwaitEndpoint wait = (Choice.AwaitEndpoint) choose(demand(100, 10), 30);

      assertThat(wait.waitMs()).isEqualTo(300);
      assertThat(wait.delayMs(2)).isBetween(700L, 760L);
    }

    @Test
    void olderAnswerWithoutALimitDoesNotEndIt() {
      EndpointTicket late = group.begin(id("e2"), demand(100, 10), 5).orElseThrow();
      limit("e2");
      EndpointNotice none = EndpointNotice.NONE;

      assertThat(late.noticed(none, true, 30)).isFalse();
      assertThat(group.begin(id("e2"), demand(100, 10), 40)).isEmpty();
    }

    @Test
    void newProcessUnderTheNameStartsWithoutALimit() {
      group.put(restarted(entry("e1", NORTH, false)), true, 50);

      assertThat(group.begin(id("e1"), demand(100, 10), 60)).isPresent();
    }
  }

  /** Guards against requests to an endpoint that has asked for rest. */
  @Nested
  class RestingEndpoint {

    @BeforeEach
    void bothHoldTheAdapter() {
      hold("e1", 0);
      hold("e2", 0);
    }

    private void rest(String name, long restMs, long now) {
      EndpointTicket ticket = group.begin(id(name), demand(100, 10), now).orElseThrow();
      ticket.noticed(
          new EndpointNotice(
              OptionalDouble.empty(), OptionalLong.of(restMs), OptionalInt.empty(), false),
          true,
          now);
      ticket.ended(Recipient.Ending.NO_BLAME, now);
    }

    @Test
    void getsNoRequestUntilItsRestEnds() {
      rest("e1", 3_000, 10);

      assertThat(sentTo(choose(demand(100, 10), 3_009))).isEqualTo("e2");
      assertThat(group.begin(id("e1"), demand(100, 10), 3_009)).isEmpty();
      assertThat(sentTo(choose(demand(100, 10), 3_010))).isEqualTo("e1");
    }

    @Test
    void longerRestIsNotShortened() {
      EndpointTicket slow = group.begin(id("e1"), demand(100, 10), 5).orElseThrow();
      rest("e1", 3_000, 10);
      slow.noticed(
          new EndpointNotice(
              OptionalDouble.empty(), OptionalLong.of(100), OptionalInt.empty(), false),
          true,
          20);

      assertThat(group.begin(id("e1"), demand(100, 10), 200)).isEmpty();
    }

    @Test
    void adapterIsLoadedElsewhere() {
      group.setCopy(id("e2"), ADAPTER, null);
      rest("e1", 3_000, 10);

      assertThat(choose(demand(100, 10), 20)).isInstanceOf(Choice.RequestLoad.class);
      assertThat(group.excluded(demand(100, 10), 20)).containsExactly(id("e1"));
    }

    @Test
    void requestWaitsForTheFirstIfAllRest() {
      rest("e1", 3_000, 10);
      rest("e2", 800, 10);

      assertThat(((Choice.AwaitEndpoint) choose(demand(100, 10, id("e2")), 110)).waitMs())
          .isEqualTo(700);
    }
  }

  /** Guards against new requests to an endpoint that leaves before the list says so. */
  @Nested
  class EndpointThatStatesThatItLeaves {

    private EndpointTicket running;

    @BeforeEach
    void bothHoldTheAdapterAndOneLeaves() {
      hold("e1", 0);
      hold("e2", 0);
      running = group.begin(id("e1"), demand(100, 10), 5).orElseThrow();
      EndpointNotice leaving =
          new EndpointNotice(
              OptionalDouble.empty(), OptionalLong.empty(), OptionalInt.empty(), true);
      running.noticed(leaving, false, 10);
    }

    @Test
    void getsNoRequest() {
      assertThat(sentTo(choose(demand(100, 10), 20))).isEqualTo("e2");
      assertThat(group.begin(id("e1"), demand(100, 10), 20)).isEmpty();
      assertThat(group.excluded(demand(100, 10), 20)).containsExactly(id("e1"));
    }

    @Test
    void isNotTheFallbackEither() {
      group.put(entry("e2", SOUTH, true), true, 20);

      assertThat(choose(demand(100, 10), 30)).isInstanceOf(Choice.Refuse.class);
    }

    @Test
    void keepsItsRunningRequests() {
      running.ended(Recipient.Ending.ANSWERED, 20);

      assertThat(group.takeUsage(NORTH, 30)).allMatch(usage -> usage.load().running() == 0);
    }

    @Test
    void lateAnswerOfAnEarlierProcessSaysNothingAboutItsSuccessor() {
      group.put(restarted(entry("e1", NORTH, false)), true, 20);
      EndpointNotice leaving =
          new EndpointNotice(
              OptionalDouble.empty(), OptionalLong.empty(), OptionalInt.empty(), true);

      assertThat(running.noticed(leaving, true, 30)).isFalse();
      assertThat(group.begin(id("e1"), demand(100, 10), 40)).isPresent();
    }

    @Test
    void staysOutThoughTheListTakesItsLeavingBack() {
      group.put(entry("e1", NORTH, true), true, 20);
      group.put(entry("e1", NORTH, false), true, 30);

      assertThat(group.begin(id("e1"), demand(100, 10), 40)).isEmpty();
    }
  }

  /** Guards against slots that stay unused until the next usage report. */
  @Nested
  class IdleAdapter {

    @Test
    void isReportedWhenItsLastRequestEnds() {
      hold("e1", 0);
      EndpointTicket first = group.begin(id("e1"), demand(100, 10), 10).orElseThrow();
      EndpointTicket second = group.begin(id("e1"), demand(100, 10), 20).orElseThrow();

      first.ended(Recipient.Ending.ANSWERED, 500);
      assertThat(idle).isEmpty();

      second.ended(Recipient.Ending.ANSWERED, 600);
      assertThat(idle).containsExactly(NORTH);
    }
  }

  @Nested
  class Choosing {

    @Test
    void holderInAnotherDataCentreIsPreferredToALoad() {
      hold("e2", 0);

      assertThat(sentTo(choose(demand(800, 200), 10))).isEqualTo("e2");
    }

    @Test
    void missingAdapterIsLoaded() {
      assertThat(choose(demand(800, 200), 10)).isInstanceOf(Choice.RequestLoad.class);
    }

    @Test
    void loadingAdapterIsAwaited() {
      hold("e1", 200);

      assertThat(choose(demand(800, 200), 10))
          .isInstanceOfSatisfying(
              Choice.AwaitLoad.class, wait -> assertThat(wait.waitMs()).isEqualTo(190));
    }

    @Test
    void leavingEndpointGetsNoRequests() {
      hold("e1", 0);
      group.put(entry("e1", NORTH, true), true, 0);

      assertThat(choose(demand(800, 200), 10)).isInstanceOf(Choice.RequestLoad.class);
    }

    @Test
    void requestWithoutEndpointsIsRefused() {
      group.retireAt(id("e1"), 0);
      group.retireAt(id("e2"), 0);

      assertThat(choose(demand(800, 200), 10))
          .isInstanceOfSatisfying(
              Choice.Refuse.class,
              refusal -> assertThat(refusal.kind()).isEqualTo(ErrorKind.NO_ENDPOINT));
    }

    @Test
    void backlogBeyondTheDeadlineIsRefused() {
      hold("e1", 0);
      hold("e2", 0);
      Load full = new Load(60, 2_000_000, 0, 0);
      group.setOthers(NORTH, Map.of(id("e1"), full), 0);
      group.setOthers(SOUTH, Map.of(id("e2"), full), 0);

      assertThat(choose(demand(800, 200), 10))
          .isInstanceOfSatisfying(
              Choice.Refuse.class,
              refusal -> assertThat(refusal.kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE));
    }
  }

  /** Guards against long prompts that delay every response generated at the same engine. */
  @Nested
  class MixedWorkload {

    @BeforeEach
    void loadOneEngineWithPromptsAndOneWithResponses() {
      hold("e1", 0);
      hold("e2", 0);
      group.setOthers(NORTH, Map.of(id("e1"), new Load(2, 0, 0, 60_000)), 0);
      group.setOthers(SOUTH, Map.of(id("e2"), new Load(12, 0, 0, 5_000)), 0);
    }

    @Test
    void longResponseAvoidsTheEngineThatReadsPrompts() {
      assertThat(sentTo(choose(demand(800, 360), 10))).isEqualTo("e2");
    }

    /** Guards against load that stays for ever, since idle engines are left out of reports. */
    @Test
    void engineThatIsNoLongerListedIsIdle() {
      group.setOthers(NORTH, Map.of(), 100);

      assertThat(sentTo(choose(demand(800, 360), 110))).isEqualTo("e1");
    }

    @Test
    void longPromptAvoidsTheEngineThatGeneratesResponses() {
      assertThat(sentTo(choose(demand(9_190, 50), 10))).isEqualTo("e1");
    }
  }

  /**
   * Guards against a second load of an adapter that is only late. The engine refuses a request at
   * the expected time; loading the adapter at another engine would delay all other loads in
   * progress.
   */
  @Nested
  class LateAdapter {

    @Test
    void isAwaitedAtTheSameEngine() {
      hold("e1", 100);

      assertThat(group.postpone(id("e1"), ADAPTER, 120, 180)).isTrue();
      assertThat(choose(demand(800, 200), 120))
          .isInstanceOfSatisfying(
              Choice.AwaitLoad.class, wait -> assertThat(wait.waitMs()).isEqualTo(60));
    }

    @Test
    void isAbsentIfItIsLongOverdue() {
      hold("e1", 100);

      assertThat(group.postpone(id("e1"), ADAPTER, 5_000, 5_060)).isFalse();
      group.absent(id("e1"), ADAPTER);
      assertThat(choose(demand(800, 200), 5_000)).isInstanceOf(Choice.RequestLoad.class);
    }
  }

  @Nested
  class NewVersion {

    @Test
    void outdatedCopyServesUntilTheGracePeriodEnds() {
      hold("e1", 0);
      versions.announce(ADAPTER, 2, 1_000);

      assertThat(sentTo(choose(demand(800, 200), 1_000 + GRACE_MS - 1))).isEqualTo("e1");
      assertThat(choose(demand(800, 200), 1_000 + GRACE_MS)).isInstanceOf(Choice.RequestLoad.class);
    }

    @Test
    void isRequiredOfTheEngineAfterTheGracePeriod() {
      hold("e1", 0);
      versions.announce(ADAPTER, 2, 1_000);
      Demand demand = demand(800, 200);

      assertThat(group.target(id("e1"), demand, 1_001).orElseThrow().expectedVersion()).isEmpty();
      assertThat(group.target(id("e1"), demand, 1_000 + GRACE_MS).orElseThrow().expectedVersion())
          .hasValue(2);
    }
  }

  @Nested
  class Counting {

    @Test
    void loadCountsFromSendingToEnd() {
      Demand demand = demand(800, 200);
      EndpointTicket ticket = group.begin(id("e1"), demand, 10).orElseThrow();
      List<EndpointUsage> during = group.takeUsage(NORTH, 11);
      ticket.begun(50);
      ticket.ended(Recipient.Ending.ANSWERED, 100);
      ticket.ended(Recipient.Ending.FAILED, 101);

      assertThat(during).hasSize(1);
      assertThat(during.get(0).load().running()).isEqualTo(1);
      assertThat(during.get(0).load().prefillTokens()).isEqualTo(800);
      assertThat(during.get(0).uses()).containsExactly(new EndpointUsage.AdapterUse(ADAPTER, 1, 1));
      assertThat(group.takeUsage(NORTH, 102)).isEmpty();
    }

    @Test
    void newProcessUnderAKnownNameIsEmpty() {
      hold("e1", 0);
      EndpointEntry again =
          new EndpointEntry(
              id("e1"),
              new ServiceId("notes"),
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000),
              NORTH,
              96,
              false,
              2,
              SoftwareVersion.UNSTATED,
              List.of(new EndpointEntry.HeldModel(MODEL, 1, Map.of())));

      assertThat(group.put(again, true, 100)).isTrue();
      assertThat(choose(demand(800, 200), 100)).isInstanceOf(Choice.RequestLoad.class);
    }
  }

  /** Guards against rejections of all requests that waited for an adapter which is late. */
  @Nested
  class AdapterExpectedByNow {

    @BeforeEach
    void isLoadingAtOneEngine() {
      group.setCopy(id("e1"), ADAPTER, new EndpointState.Copy(1, 200, true));
    }

    @Test
    void secondRequestWaitsForTheOutcomeOfTheFirst() {
      assertThat(sentTo(choose(demand(600, 70), 200))).isEqualTo("e1");
      assertThat(group.begin(id("e1"), demand(600, 70), 200)).isPresent();

      assertThat(choose(demand(600, 70), 201)).isInstanceOf(Choice.AwaitLoad.class);
      assertThat(group.begin(id("e1"), demand(600, 70), 201)).isEmpty();
      assertThat(sentTo(choose(demand(600, 70), 200 + CanaryRequests.REJECTION_MS)))
          .isEqualTo("e1");
    }

    @Test
    void rejectionOfTheFirstPostponesTheOthers() {
      assertThat(group.begin(id("e1"), demand(600, 70), 200)).isPresent();
      group.postpone(id("e1"), ADAPTER, 205, 260);

      assertThat(choose(demand(600, 70), 220)).isInstanceOf(Choice.AwaitLoad.class);
      assertThat(group.begin(id("e1"), demand(600, 70), 260)).isPresent();
      assertThat(group.begin(id("e1"), demand(600, 70), 261)).isEmpty();
    }

    @Test
    void copyThatIsHeldTakesAllRequestsAtOnce() {
      group.setCopy(id("e1"), ADAPTER, new EndpointState.Copy(1, 300, false));

      assertThat(group.begin(id("e1"), demand(600, 70), 300)).isPresent();
      assertThat(group.begin(id("e1"), demand(600, 70), 300)).isPresent();
    }
  }
}
