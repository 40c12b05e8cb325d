package io.sequoiapass.testbed.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.sequoiapass.testbed.cli.Addresses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * TCP proxy that forwards connections to a target and injects network faults.
 *
 * <pre>{@code
 * try (FaultProxy proxy = FaultProxy.start(0, engine.address())) {
 *   proxy.set(ProxyFault.freeze());
 *   proxy.set(ProxyFault.none());
 * }
 * }</pre>
 *
 * <p>A fault applies to open connections and to new ones; it may be limited to the connections from
 * one address, so that one of several clients loses its path to the target. Safe for use by several
 * threads; all connections share one event loop.
 */
public final class FaultProxy implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final EventLoopGroup group;
  private final EventLoop loop;
  private final InetSocketAddress target;
  private final List<ProxyLink> links = new ArrayList<>();
  private final Map<InetAddress, ProxyFault> faultsBySource = new HashMap<>();
  private final Map<Integer, InetAddress> sources = new ConcurrentHashMap<>();
  private ProxyFault fault = ProxyFault.none();
  private volatile Channel listening;
  private volatile InetSocketAddress address;

  private FaultProxy(InetSocketAddress target) {
    this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.loop = group.next();
    this.target = Objects.requireNonNull(target, "target");
  }

  /**
   * Starts a proxy on the loopback interface.
   *
   * @param port port to listen on; 0 for any free port
   * @param target address to forward to
   * @throws IOException if the port cannot be bound
   */
  public static FaultProxy start(int port, InetSocketAddress target) throws IOException {
    FaultProxy proxy = new FaultProxy(target);
    try {
      proxy.listen(port);
    } catch (IOException e) {
      proxy.close();
      throw e;
    }
    return proxy;
  }

  private void listen(int port) throws IOException {
    ChannelFuture binding =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                })
            .bind(Addresses.loopback(port))
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IOException("cannot listen on port " + port, binding.cause());
    }
    listening = binding.channel();
    address = (InetSocketAddress) listening.localAddress();
  }

  /**
   * Stops listening and closes all connections, as the end of the target's process does: the system
   * refuses new connections, whereas a fault closes them after they were opened.
   */
  public void stopListening() {
    listening.close().awaitUninterruptibly();
    closeLinks();
  }

  /**
   * Listens again on the same port.
   *
   * @throws IOException if the port cannot be bound
   */
  public void listenAgain() throws IOException {
    listen(port());
  }

  /** Returns the port that the proxy listens on. */
  public int port() {
    return address.getPort();
  }

  /** Returns the address that the proxy listens on. */
  public InetSocketAddress address() {
    return Addresses.loopback(port());
  }

  /**
   * Replaces the current fault; returns once it is in effect.
   *
   * @param next the fault, or {@link ProxyFault#none} to clear the current one
   */
  public void set(ProxyFault next) {
    Objects.requireNonNull(next, "next");
    loop.submit(
            () -> {
              fault = next;
              applyFaults();
            })
        .awaitUninterruptibly();
  }

  /**
   * Replaces the fault of the connections from one address; returns once it is in effect. It takes
   * precedence over the fault of all connections.
   *
   * @param source the address that the connections come from
   * @param next the fault, or {@link ProxyFault#none} to apply the fault of all connections again
   */
  public void set(InetAddress source, ProxyFault next) {
    Objects.requireNonNull(next, "next");
    loop.submit(
            () -> {
              if (next.mode() == ProxyMode.NONE) {
                faultsBySource.remove(source);
              } else {
                faultsBySource.put(source, next);
              }
              applyFaults();
            })
        .awaitUninterruptibly();
  }

  /**
   * Returns the address of the client whose connection is forwarded from a local port; empty if
   * there is none.
   *
   * @param localPort the port that the target sees
   */
  public Optional<InetAddress> source(int localPort) {
    return Optional.ofNullable(sources.get(localPort));
  }

  private void applyFaults() {
    List.copyOf(links).forEach(link -> link.apply(faultOf(link.source())));
  }

  private ProxyFault faultOf(InetAddress source) {
    return faultsBySource.getOrDefault(source, fault);
  }

  private void accept(SocketChannel client) {
    InetSocketAddress from = client.remoteAddress();
    if (from == null || faultOf(from.getAddress()).refusesConnections()) {
      client.close();
      return;
    }
    ProxyLink link = new ProxyLink(client, from.getAddress(), faultOf(from.getAddress()));
    links.add(link);
    link.onClose(() -> links.remove(link));
    ChannelFuture opening = connect(link);
    opening.addListener(
        done -> {
          if (!done.isSuccess()) {
            link.close();
            return;
          }
          int localPort = ((InetSocketAddress) opening.channel().localAddress()).getPort();
          sources.put(localPort, from.getAddress());
          opening.channel().closeFuture().addListener(closed -> sources.remove(localPort));
          link.start();
        });
  }

  private ChannelFuture connect(ProxyLink link) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                link.targetOpened(channel);
              }
            })
        .connect(target);
  }

  @Override
  public void close() {
    if (listening != null) {
      listening.close().awaitUninterruptibly();
    }
    closeLinks();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void closeLinks() {
    loop.submit(() -> List.copyOf(links).forEach(ProxyLink::close)).awaitUninterruptibly();
  }
}
