package io.sequoiapass.testbed.measure;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpStreamListener;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Notes when the first part of an answer's body came; used on the connection's event loop.
 *
 * <p>It looks at no token, so that both ways of a comparison cost the measuring side the same.
 */
final class FirstTokenProbe implements HttpStreamListener {

  private final PathTimes times;
  private final boolean counts;
  private final long startedAt = System.nanoTime();
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
      firstNanos = System.nanoTime() - startedAt;
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
