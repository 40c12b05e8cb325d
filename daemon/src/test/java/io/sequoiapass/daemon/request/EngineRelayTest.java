package io.sequoiapass.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.Gson;
import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.VersionId;
import io.sequoiapass.coordination.request.AttemptAction.Mode;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.daemon.connection.engine.EngineFrame;
import io.sequoiapass.daemon.connection.engine.EngineRefusal;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EngineRelayTest {

  private static final AdapterVersion NOTES =
      new AdapterVersion(new AdapterId("notes"), new VersionId("v1"));
  private static final PeerMessage.AttemptId ID = new PeerMessage.AttemptId(new RequestId("r1"), 0);
  private final List<String> events = new ArrayList<>();
  private final EngineRelay relay = relay();

  @Test
  void tokensThatArriveTogetherAreSentInOneMessageBeforeTheEnd() {
    relay.frames(List.of(token(0, "a"), token(1, "b"), end(2)));
    assertThat(events).containsExactly("0 [a, b]", "whole 2");
  }

  // A restarted engine continues the stream with the text of another request. The tokens before it
  // belong to this request and may be resumed from; nothing after the foreign frame is forwarded.
  @Test
  void forwardsNothingFromAForeignFrameOnwards() {
    relay.frames(List.of(token(0, "a"), frame("other", 1, "x"), token(1, "b")));
    relay.frames(List.of(token(1, "b"), end(2)));
    assertThat(events).containsExactly("0 [a]", "broken at 1");
  }

  // One of several tokens that arrived together is missing. The tokens before it are forwarded, and
  // the rest can be requested from that index.
  @Test
  void aMissingTokenInterruptsTheStreamAtItsIndex() {
    relay.frames(List.of(token(0, "a"), token(2, "c")));
    assertThat(events).containsExactly("0 [a]", "broken at 1");
  }

  private EngineRelay relay() {
    ForwardedWork.Completion work =
        new ForwardedWork.Completion(NOTES, new ModelId("base"), Priority.INTERACTIVE, "p", 8, 0);
    PeerMessage.Forward forward =
        new PeerMessage.Forward(ID, new EndpointId("e1"), work, Mode.RUN, 1_000, false);
    return new EngineRelay(new Execution(forward, new Replies(), 0), 0, new End());
  }

  private static EngineFrame token(int index, String text) {
    return frame("r1", index, text);
  }

  private static EngineFrame frame(String request, int index, String text) {
    return read(
        """
        {"request_id":"%s","index":%d,"token":"%s","adapter":"notes","version":"v1"}"""
            .formatted(request, index, text));
  }

  private static EngineFrame end(int tokens) {
    return read(
        """
        {"request_id":"r1","done":true,"tokens":%d,"adapter":"notes","version":"v1"}"""
            .formatted(tokens));
  }

  private static EngineFrame read(String json) {
    return new Gson().fromJson(json, EngineFrame.class);
  }

  private final class Replies implements PeerChannel {

    @Override
    public boolean send(PeerMessage message) {
      PeerMessage.Tokens tokens = (PeerMessage.Tokens) message;
      return events.add(tokens.firstIndex() + " " + tokens.texts());
    }

    @Override
    public boolean writable() {
      return true;
    }

    @Override
    public void close() {}
  }

  private final class End implements EngineRelay.EndListener {

    @Override
    public void completed(AdapterVersion ranOn, int tokens) {
      events.add("whole " + tokens);
    }

    @Override
    public void refused(EngineRefusal refusal) {
      events.add("refused");
    }

    @Override
    public void broken(int next, boolean mayHaveReached, boolean resumable) {
      events.add("broken at " + next);
    }
  }
}
