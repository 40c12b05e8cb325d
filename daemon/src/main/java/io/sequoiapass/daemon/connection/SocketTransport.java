package io.sequoiapass.daemon.connection;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The I/O mechanism of event loops and their sockets.
 *
 * <pre>{@code
 * EventLoopGroup group = SocketTransport.best().group(4);
 * bootstrap.group(group).channel(SocketTransport.of(group).client());
 * }</pre>
 */
public enum SocketTransport {
  /**
   * Linux epoll through Netty's native library. Requires a directory for temporary files, into
   * which Netty unpacks that library at start-up.
   */
  EPOLL(
      EpollIoHandler.class,
      EpollSocketChannel.class,
      EpollServerSocketChannel.class,
      EpollDatagramChannel.class) {
    @Override
    IoHandlerFactory handlers() {
      return EpollIoHandler.newFactory();
    }
  },

  /** The JDK's selectors; available everywhere, with a higher cost per event. */
  NIO(
      NioIoHandler.class,
      NioSocketChannel.class,
      NioServerSocketChannel.class,
      NioDatagramChannel.class) {
    @Override
    IoHandlerFactory handlers() {
      return NioIoHandler.newFactory();
    }
  };

  private final Class<? extends IoHandler> handler;
  private final Class<? extends SocketChannel> client;
  private final Class<? extends ServerSocketChannel> server;
  private final Class<? extends DatagramChannel> datagram;

  SocketTransport(
      Class<? extends IoHandler> handler,
      Class<? extends SocketChannel> client,
      Class<? extends ServerSocketChannel> server,
      Class<? extends DatagramChannel> datagram) {
    this.handler = handler;
    this.client = client;
    this.server = server;
    this.datagram = datagram;
  }

  abstract IoHandlerFactory handlers();

  /**
   * Returns the most efficient transport available in this process: {@link #NIO} if the native
   * library cannot be loaded or is disabled by {@code -Dio.netty.transport.noNative=true}.
   */
  public static SocketTransport best() {
    return Epoll.isAvailable() ? EPOLL : NIO;
  }

  /**
   * Returns the transport of a group's event loops.
   *
   * @param group the group
   */
  public static SocketTransport of(EventLoopGroup group) {
    return group instanceof IoEventLoopGroup loops && loops.isIoType(EPOLL.handler) ? EPOLL : NIO;
  }

  /**
   * Returns a new group of event loops.
   *
   * @param threads the number of threads
   */
  public EventLoopGroup group(int threads) {
    return new MultiThreadIoEventLoopGroup(threads, handlers());
  }

  /** Returns the channel type of outgoing connections. */
  public Class<? extends SocketChannel> client() {
    return client;
  }

  /** Returns the channel type of datagrams. */
  public Class<? extends DatagramChannel> datagram() {
    return datagram;
  }

  /** Returns the channel type of listening sockets. */
  public Class<? extends ServerSocketChannel> server() {
    return server;
  }
}
