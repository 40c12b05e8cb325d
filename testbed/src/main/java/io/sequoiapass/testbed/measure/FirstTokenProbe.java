package io.sequoiapass.testbed.measure;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpStreamListener;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Records when the first part of an answer's body arrives. Confined to the connection's event loop.
 *
 * <p>Does not parse tokens, so that the cost on the measuring side is the same for all paths.
 */
final class FirstTokenProbe implements HttpStreamListener {

  private final PathTimes times;
  private final boolean counts;
  private final long startedAtNanos = System.nanoTime();
  private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
  private int status;
  private long firstNanos = -1;

  FirstTokenProbe(PathTimes times, boolean counts) {
    this.times = times;
    this.counts = counts;
  }

  @Override
  public void started(int answeredStatus, HttpHeaders headers) {
    status = answeredStatus;
  }

  @Override
  public void received(byte[] part) {
    if (firstNanos < 0) {
      firstNanos = System.nanoTime() - startedAtNanos;
    }
    if (status != 200) {
      refusal.writeBytes(part);
    }
  }

  @Override
  public void ended() {
    if (status == 200) {
      times.answered(TimeUnit.NANOSECONDS.toMicros(firstNanos), counts);
    } else {
      times.failed(status + " " + refusal.toString(StandardCharsets.UTF_8));
    }
  }

  @Override
  public void failed(HttpFailure failure) {
    times.failed(failure.getMessage());
  }
}
