package io.sequoiapass.daemon.connection.engine;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpStreamListener;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Parses an engine's answer to one request. Used on the connection's event loop. */
final class EngineStreamReader implements HttpStreamListener {

  private static final int OK = 200;

  private final Gson gson;
  private final EngineStreamListener listener;
  private final EventSplitter splitter;
  private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
  private final List<EngineFrame> batch = new ArrayList<>();
  private int status;
  private boolean broken;

  EngineStreamReader(Gson gson, EngineStreamListener listener) {
    this.gson = gson;
    this.listener = listener;
    this.splitter = new EventSplitter(this::event);
  }

  @Override
  public void started(int status, HttpHeaders headers) {
    this.status = status;
  }

  @Override
  public void received(byte[] part) {
    if (status != OK) {
      refusal.writeBytes(part);
    } else if (!broken) {
      read(part);
    }
  }

  private void read(byte[] part) {
    try {
      splitter.accept(part);
    } catch (JsonParseException | IllegalArgumentException unreadable) {
      // After an unreadable event a token may be missing, so the rest of the stream is ignored.
      broken = true;
    }
    if (!batch.isEmpty()) {
      listener.frames(List.copyOf(batch));
      batch.clear();
    }
  }

  private void event(String text) {
    EngineFrame frame = gson.fromJson(text, EngineFrame.class);
    if (frame != null) {
      batch.add(frame);
    }
  }

  @Override
  public void ended() {
    if (status == OK) {
      listener.ended();
    } else if (status == 409 || status == 503 || status == 404) {
      listener.refused(EngineClient.refusal(gson, refusal.toString(StandardCharsets.UTF_8)));
    } else {
      listener.lost(true);
    }
  }

  @Override
  public void failed(HttpFailure failure) {
    listener.lost(failure.mayHaveReached());
  }
}
