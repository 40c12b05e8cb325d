import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Sends one request on a connection of its own, and reads its answer. */
final class Caller {

  private Caller() {}

  /**
   * What became of a request.
   *
   * @param status the status; 0 if no head arrived
   * @param complete whether the answer is complete
   * @param stamped whether it bears a runner's stamp
   * @param body the body, as far as it arrived
   * @param end how the connection ended, if the answer isn't complete
   */
  record Answer(int status, boolean complete, boolean stamped, String body, String end) {

    boolean served() {
      return complete && status / 100 == 2 && stamped;
    }

    @Override
    public String toString() {
      return (complete ? "" + status : status + " incomplete: " + end) + (stamped ? " stamped" : "");
    }
  }

  static Answer call(
      Daemons.Daemon daemon,
      String method,
      String path,
      String id,
      Map<String, String> headers,
      String body,
      long deadlineMs) {
    int status = 0;
    boolean stamped = false;
    byte[] read = new byte[0];
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(daemon.ip, daemon.callers), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) deadlineMs + 1_000);
      Map<String, String> all = new LinkedHashMap<>();
      all.put("Host", "intake.example");
      all.put("Sequoiapass-Request-Id", id);
      all.put("Sequoiapass-Deadline-Ms", Long.toString(deadlineMs));
      all.putAll(headers);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      all.put("Content-Length", Integer.toString(bytes.length));
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      all.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      socket
          .getOutputStream()
          .write((head + "\r\n" + body).getBytes(StandardCharsets.UTF_8));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String first = Http.line(in);
      if (first == null) {
        return new Answer(0, false, false, "", "closed without an answer");
      }
      status = Integer.parseInt(first.split(" ")[1]);
      Map<String, String> answered = Http.headers(in);
      stamped = answered.containsKey("Sequoiapass-Server-Stamp");
      if (answered.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
        read = Http.chunks(in);
      } else {
        read = Http.exactly(in, Integer.parseInt(answered.getOrDefault("Content-Length", "0")));
      }
      return new Answer(status, true, stamped, new String(read, StandardCharsets.UTF_8), "");
    } catch (IOException e) {
      return new Answer(status, false, stamped, "", e.toString());
    }
  }
}
