package io.sequoiapass.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a client connection on which bytes arrive that are no response: before the head, in a head
 * that does not end, in responses to other requests, in the framing of a body, or on an idle
 * connection. Used on the event loop of its connection.
 */
final class ResponseGuard extends ChannelInboundHandlerAdapter {

  /**
   * Bytes that may arrive for a request before the head of its response is complete; more than a
   * late response to another request and some informational ones.
   */
  private static final long MAX_BYTES = 256 << 10;

  /**
   * Bytes of framing that may arrive in a body beyond {@link #MAX_BYTES}, for each of content; a
   * chunk of one byte has five.
   */
  private static final long FRAMING_RATIO = 8;

  /** Time in which a head has to be complete after its first byte, in milliseconds. */
  private static final long HEAD_MS = 1_500;

  private State state = State.IDLE;
  private Runnable onUnrequested = () -> {};
  private long received;
  private Future<?> timeout;

  /** What the connection is used for. */
  private enum State {
    /** No request is open. */
    IDLE,
    /** The head of a response is due. */
    AWAITS_HEAD,
    /** The body of the response is being read; its content is limited by its reader. */
    READS_BODY
  }

  /** Sets what runs when bytes arrive that no request has asked for. */
  void onUnrequested(Runnable action) {
    onUnrequested = action;
  }

  /** Starts to await a head. */
  void expectHead() {
    enter(State.AWAITS_HEAD);
  }

  /** Called when the head of the response is complete. */
  void headReceived() {
    enter(State.READS_BODY);
  }

  /** Called when content of the body was read. */
  void contentRead(int bytes) {
    received -= (1 + FRAMING_RATIO) * bytes;
  }

  /** Called when a message was read that is not the response; the wait for its head starts anew. */
  void otherMessageRead() {
    cancelTimeout();
  }

  /** Called when the response is complete. */
  void ended() {
    enter(State.IDLE);
  }

  private void enter(State next) {
    state = next;
    received = 0;
    cancelTimeout();
  }

  private void cancelTimeout() {
    if (timeout != null) {
      timeout.cancel(false);
      timeout = null;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (state == State.IDLE) {
      ((ByteBuf) message).release();
      onUnrequested.run();
      context.close();
      return;
    }
    received += ((ByteBuf) message).readableBytes();
    context.fireChannelRead(message);
    if (received > MAX_BYTES) {
      context.close();
    } else if (state == State.AWAITS_HEAD && timeout == null) {
      timeout =
          context.executor().schedule(() -> timedOut(context), HEAD_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void timedOut(ChannelHandlerContext context) {
    if (state == State.AWAITS_HEAD) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelTimeout();
    context.fireChannelInactive();
  }
}
