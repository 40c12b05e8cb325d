package io.sequoiapass.testbed.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonObject;
import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.standin.StandIn;
import io.sequoiapass.testbed.standin.StandInKind;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultProxyTest {

  private StandIn service;
  private FaultProxy proxy;
  private HttpProbe direct;
  private HttpProbe through;

  @BeforeEach
  void start() throws Exception {
    service = StandIn.start(StandInKind.SERVICE, "--work-ms", "0");
    proxy = FaultProxy.start(0, service.address());
    direct = new HttpProbe(service.address());
    through = new HttpProbe(proxy.address());
  }

  @AfterEach
  void stop() {
    proxy.close();
    service.close();
  }

  private int runs() throws Exception {
    JsonObject judge = direct.json("/judge");
    return judge.get("runs").getAsInt();
  }

  /** Waits until the service ran this often, or gives up after a bounded number of looks. */
  private void awaitRuns(int count) throws Exception {
    for (int look = 0; look < 2_000 && runs() < count; look++) {
      Thread.onSpinWait();
    }
    assertThat(runs()).isEqualTo(count);
  }

  @Test
  void forwardsWhatIsLargerThanOneRead() throws Exception {
    String path = "/" + "x".repeat(3_000);
    String body = "y".repeat(500_000);

    assertThat(through.call("POST", path, body).body()).contains(path);
  }

  @Test
  void refusesWhileCut() throws Exception {
    proxy.set(ProxyFault.cut());
    assertThatThrownBy(() -> through.call("POST", "/a", "")).isInstanceOf(IOException.class);
    assertThat(runs()).isZero();

    proxy.set(ProxyFault.none());
    assertThat(through.call("POST", "/a", "").statusCode()).isEqualTo(200);
  }

  // The request reaches the service and runs; its answer does not come back while the way from the
  // target is cut. A caller that gives up here must not say "not run". After the heal the answer
  // arrives, as TCP would send it again.
  @Test
  void cutsOnlyTheWayBack() throws Exception {
    proxy.set(ProxyFault.oneWayCut(Direction.FROM_TARGET));
    CompletableFuture<HttpResponse<String>> answer = through.start("POST", "/a", "");
    awaitRuns(1);
    assertThat(answer).isNotDone();

    proxy.set(ProxyFault.none());
    assertThat(answer.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
  }

  @Test
  void cutsOnlyTheWayThere() throws Exception {
    through.call("POST", "/a", "");
    proxy.set(ProxyFault.oneWayCut(Direction.TO_TARGET));
    CompletableFuture<HttpResponse<String>> answer = through.start("POST", "/a", "");
    // A call beside the proxy goes there and back, so the held one had time to arrive as well.
    direct.call("POST", "/b", "");
    assertThat(runs()).isEqualTo(2);

    proxy.set(ProxyFault.none());
    assertThat(answer.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    assertThat(runs()).isEqualTo(3);
  }

  // The connection breaks off within the answer's head, after the service ran: the answer is lost.
  @Test
  void dropsAfterSomeBytesOfTheAnswer() throws Exception {
    proxy.set(ProxyFault.dropAfter(Direction.FROM_TARGET, 10));
    assertThatThrownBy(() -> through.call("POST", "/a", "")).isInstanceOf(IOException.class);
    assertThat(runs()).isPositive();
  }

  @Test
  void takesItsFaultOverHttp() throws Exception {
    try (ProxyControl control = ProxyControl.start(FaultProxy.start(0, service.address()), 0)) {
      HttpProbe switches = new HttpProbe(Addresses.loopback(control.port()));
      assertThat(switches.call("POST", "/faults", "{\"mode\":\"freeze\"}").statusCode())
          .isEqualTo(200);
      assertThat(switches.call("POST", "/faults", "{\"mode\":\"one_way_cut\"}").statusCode())
          .isEqualTo(400);
    }
  }
}
