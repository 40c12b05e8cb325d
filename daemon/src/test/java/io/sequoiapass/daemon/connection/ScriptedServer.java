package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Starts servers that answer with bytes of the test's choice. */
final class ScriptedServer {

  private ScriptedServer() {}

  /** Action of a test server after it has read a request. */
  @FunctionalInterface
  interface Script {
    void run(Socket socket, OutputStream out) throws IOException;
  }

  /** Starts a server that accepts one connection and runs the script for each request on it. */
  static InetSocketAddress start(Script script) throws IOException {
    ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              try (listening;
                  Socket socket = listening.accept()) {
                while (readRequest(socket)) {
                  script.run(socket, socket.getOutputStream());
                }
              } catch (IOException closed) {
                // Expected: the script closed the connection.
                assertThat(closed).isNotNull();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
  }

  static boolean readRequest(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return false;
      }
      head.append((char) next);
    }
    return true;
  }

  static void send(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
