package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SocketTransportTest {

  @ParameterizedTest
  @EnumSource
  void isDetectedFromItsEventLoopGroup(SocketTransport transport) {
    if (transport == SocketTransport.EPOLL && SocketTransport.best() != transport) {
      return;
    }
    EventLoopGroup group = transport.group(1);
    try {
      assertThat(SocketTransport.of(group)).isEqualTo(transport);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  @Test
  void bestTransportRunsTasks() {
    EventLoopGroup group = SocketTransport.best().group(1);
    try {
      assertThat(group.submit(() -> 7)).succeedsWithin(5, TimeUnit.SECONDS).isEqualTo(7);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
