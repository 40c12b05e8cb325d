package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.ApiKey;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.ConfigurationCurrency;
import io.sequoiapass.coordination.process.UsageThrottle;
import io.sequoiapass.coordination.process.WorkspaceShare;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.version.UsageLimit;
import io.sequoiapass.coordination.version.Workspace;
import io.sequoiapass.coordination.version.Workspaces;
import io.sequoiapass.daemon.connection.ConnectionLimits;
import io.sequoiapass.gateway.process.WorkspaceGate.Verdict;
import io.sequoiapass.gateway.request.CallerAccess;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.spi.CallerIdentity;
import io.sequoiapass.gateway.version.RequestKind;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.ServingConfiguration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WorkspaceGateTest {

  private static final WorkspaceId YARDS = new WorkspaceId("yards");
  private static final long REVOCATION_MS = 5_000;
  private static final long CONFIGURATION_MS = 3_000;

  private final ConfigurationCurrency currency = new ConfigurationCurrency();
  private final UsageThrottle throttle = new UsageThrottle(() -> 0.5);
  private ServingConfiguration configuration = configuration("secret");
  private ClockReading now = new ClockReading(10_000, 1_000_000);
  private final WorkspaceGate gate =
      new WorkspaceGate(
          currency,
          throttle,
          () -> configuration,
          () -> now,
          OptionalLong.of(REVOCATION_MS),
          () -> CONFIGURATION_MS);

  @BeforeEach
  void confirm() {
    currency.applied(7);
    currency.proved(now, 7);
  }

  private static ServingConfiguration configuration(String... secrets) {
    List<Workspace> workspaces = new ArrayList<>();
    if (secrets.length > 0) {
      UsageLimit limit = new UsageLimit(UsageLimit.Unit.TOKENS, 1_000, 1_000, 200);
      Set<ApiKey> keys = Set.of(ApiKey.of(secrets[0]));
      workspaces.add(new Workspace(YARDS, keys, OptionalInt.of(3), limit));
    }
    return new ServingConfiguration(
        1,
        List.of(),
        List.of(),
        new ConnectionLimits(1, 1, 1, 1),
        workspaces.isEmpty() ? Workspaces.NONE : new Workspaces(workspaces));
  }

  private static RouteSpec route(boolean isPublic) {
    return new RouteSpec(
        "slip",
        "app.example",
        "/slip/",
        RequestKind.IDEMPOTENT,
        4_000,
        400,
        400,
        1,
        List.of(new RouteSpec.Target(new ServiceId("app"), 1)),
        2,
        false,
        4_000,
        isPublic);
  }

  private static CallerFacts caller(String secret) {
    return new CallerFacts(
        "r1",
        OptionalLong.empty(),
        Optional.empty(),
        OptionalLong.empty(),
        Optional.empty(),
        OptionalLong.of(1_540),
        Optional.ofNullable(secret).map(ApiKey::of));
  }

  private Verdict identify(String secret, boolean isPublic) {
    return gate.identify(configuration, route(isPublic), caller(secret));
  }

  private void advance(long ms) {
    now = new ClockReading(now.monotonicMs() + ms, now.wallMs() + ms);
  }

  @Test
  void withoutWorkspacesNobodyNeedsAKey() {
    configuration = configuration();

    assertThat(identify(null, false))
        .isEqualTo(new Verdict.Known(CallerIdentity.UNCHECKED, Optional.empty()));
  }

  @Test
  void keyIdentifiesItsWorkspace() {
    Verdict.Known known = (Verdict.Known) identify("secret", false);

    assertThat(known.identity()).isEqualTo(CallerIdentity.of(YARDS));
    assertThat(gate.access(known, route(false), caller("secret")).priority()).hasValue(3);
  }

  @Test
  void missingOrUnknownKeyIsUnauthorized() {
    assertThat(identify(null, false)).isEqualTo(new Verdict.Denied(ErrorKind.UNAUTHORIZED));
    assertThat(identify("other", false)).isEqualTo(new Verdict.Denied(ErrorKind.UNAUTHORIZED));
  }

  @Test
  void publicRouteNeedsNoKey() {
    assertThat(identify(null, true))
        .isEqualTo(new Verdict.Known(CallerIdentity.ANONYMOUS, Optional.empty()));
    assertThat(identify("other", true))
        .isEqualTo(new Verdict.Known(CallerIdentity.ANONYMOUS, Optional.empty()));
  }

  /** Guards against a removed key that a daemon out of touch with the store still accepts. */
  @Nested
  class Revocation {

    @Test
    void configurationThatIsNotConfirmedIsNotUsed() {
      advance(REVOCATION_MS);

      assertThat(identify("secret", false))
          .isEqualTo(new Verdict.Denied(ErrorKind.CONFIGURATION_NOT_CURRENT));
    }

    @Test
    void suspendedDaemonRefusesWhatItReadBefore() {
      Verdict.Known known = (Verdict.Known) identify("secret", false);
      CallerAccess access = gate.access(known, route(false), caller("secret"));
      now = new ClockReading(now.monotonicMs() + 20, now.wallMs() + REVOCATION_MS);

      assertThat(access.recheck().get()).contains(ErrorKind.CONFIGURATION_NOT_CURRENT);
    }

    @Test
    void keyThatIsRemovedWhileARequestWaitsIsRefused() {
      Verdict.Known known = (Verdict.Known) identify("secret", false);
      CallerAccess access = gate.access(known, route(false), caller("secret"));
      assertThat(access.recheck().get()).isEmpty();

      configuration = configuration("another");
      assertThat(access.recheck().get()).contains(ErrorKind.UNAUTHORIZED);
    }

    @Test
    void storeIsAskedBeforeRequestsAreRefused() {
      assertThat(gate.isConfirmed()).isTrue();
      advance(3_000);

      assertThat(gate.isConfirmed()).isFalse();
      assertThat(identify("secret", false)).isInstanceOf(Verdict.Known.class);
    }
  }

  /** Guards against denying for good a key that was added a moment ago. */
  @Test
  void unknownKeyIsNotDeniedByAnOldConfiguration() {
    advance(3_500);

    assertThat(identify("added", false))
        .isEqualTo(new Verdict.Denied(ErrorKind.CONFIGURATION_NOT_CURRENT));
  }

  @Nested
  class Usage {

    @Test
    void requestOverTheLimitTellsWhenToRetry() {
      throttle.update(
          new DataCentreId("north"), List.of(new WorkspaceShare(YARDS, 0)), true, 6, 10_000);
      Verdict.Known known = (Verdict.Known) identify("secret", false);

      assertThat(gate.charge(known.workspace().orElseThrow(), caller("secret"), 10_000))
          .isPresent();
    }

    @Test
    void requestThatDidNotRunIsNotCounted() {
      throttle.update(new DataCentreId("north"), List.of(), true, 6, 10_000);
      Verdict.Known known = (Verdict.Known) identify("secret", false);
      gate.charge(known.workspace().orElseThrow(), caller("secret"), 10_000);
      assertThat(throttle.totals().get(0).admitted()).isEqualTo(1_540);

      gate.access(known, route(false), caller("secret")).notRun().run();
      assertThat(throttle.totals().get(0).admitted()).isZero();
    }
  }
}
