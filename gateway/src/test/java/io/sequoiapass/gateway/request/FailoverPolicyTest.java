package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.gateway.process.Candidate;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Load;
import org.junit.jupiter.api.Test;

/** A stream that its endpoint could still end must not be cut for lack of another endpoint. */
class FailoverPolicyTest {

  private static final DataCentreId NORTH = new DataCentreId("north");
  private static final EndpointId SILENT = new EndpointId("e1");
  private static final EndpointId OTHER = new EndpointId("e2");

  private static Candidate candidate(EndpointId endpoint) {
    return new Candidate(endpoint, NORTH, true, 8, Load.NONE, 0, 0, 0, false, 1, 200);
  }

  private static FailoverPolicy.Step next(Choice choice) {
    return FailoverPolicy.next(choice, SILENT, true);
  }

  @Test
  void movesToAnEndpointThatCanTakeItAtOnce() {
    assertThat(next(new Choice.Send(candidate(OTHER), 40))).isEqualTo(FailoverPolicy.Step.MOVE);
  }

  @Test
  void staysIfThereIsNoOther() {
    assertThat(next(new Choice.Refuse(ErrorKind.NO_ENDPOINT, 250)))
        .isEqualTo(FailoverPolicy.Step.STAY);
    assertThat(next(new Choice.Send(candidate(SILENT), 40))).isEqualTo(FailoverPolicy.Step.STAY);
  }

  @Test
  void staysUntilTheAdapterIsLoadedElsewhere() {
    assertThat(next(new Choice.RequestLoad(NORTH, false, false, 300)))
        .isEqualTo(FailoverPolicy.Step.LOAD);
    assertThat(next(new Choice.AwaitLoad(candidate(OTHER), 120)))
        .isEqualTo(FailoverPolicy.Step.STAY);
  }

  @Test
  void staysOnceTheRetryBudgetIsUsedUp() {
    assertThat(FailoverPolicy.next(new Choice.Send(candidate(OTHER), 40), SILENT, false))
        .isEqualTo(FailoverPolicy.Step.STAY);
  }
}
