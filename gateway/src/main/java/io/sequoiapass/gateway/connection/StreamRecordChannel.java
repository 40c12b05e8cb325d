package io.sequoiapass.gateway.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.sequoiapass.daemon.connection.SocketTransport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Sends and receives {@link StreamRecord}s as datagrams. One that is sent outlives the process, but
 * it may be lost.
 *
 * <pre>{@code
 * StreamRecordChannel channel = StreamRecordChannel.open(loops, address, this::received, this::failed);
 * channel.send(record, peer);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class StreamRecordChannel {

  private final Channel channel;

  private StreamRecordChannel(Channel channel) {
    this.channel = channel;
  }

  /**
   * Opens a channel, which is closed with its event loops.
   *
   * @param loops the event loops
   * @param address the address to bind
   * @param received receives the records of others, in an event loop
   * @param failed receives exceptions of the channel, which stays usable
   * @throws IOException if the address cannot be bound
   */
  public static StreamRecordChannel open(
      EventLoopGroup loops,
      InetSocketAddress address,
      Consumer<StreamRecord> received,
      Consumer<Throwable> failed)
      throws IOException {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loops)
            .channel(SocketTransport.of(loops).datagram())
            .handler(new Receiver(received, failed));
    try {
      return new StreamRecordChannel(bootstrap.bind(address).syncUninterruptibly().channel());
    } catch (RuntimeException e) {
      throw new IOException("cannot bind " + address + " for datagrams: " + e.getMessage(), e);
    }
  }

  /**
   * Sends a record.
   *
   * @param record the record
   * @param to the receiver
   */
  public void send(StreamRecord record, InetSocketAddress to) {
    // With this promise, a failure reaches the handler of exceptions.
    channel.writeAndFlush(
        new DatagramPacket(record.encode(channel.alloc()), to), channel.voidPromise());
  }

  private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

    private final Consumer<StreamRecord> received;
    private final Consumer<Throwable> failed;

    Receiver(Consumer<StreamRecord> received, Consumer<Throwable> failed) {
      this.received = received;
      this.failed = failed;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      StreamRecord.decode(packet.content()).ifPresent(received);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      failed.accept(cause);
    }
  }
}
