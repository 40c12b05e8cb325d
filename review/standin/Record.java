import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time in milliseconds since the start. */
final class Record {

  private final long startedAt = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  long ms() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf("%6d %s%n", ms(), text);
  }

  /** Writes a line that is shown on the terminal, too. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }
}
