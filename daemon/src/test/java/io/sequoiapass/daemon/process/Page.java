package io.sequoiapass.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Compares generated documentation pages; {@code -Dsequoiapass.pages=write} regenerates them. */
public final class Page {

  private static final Path DOCS = Path.of("..", "docs");

  private Page() {}

  /** Asserts that a page equals the text generated from the code. */
  public static void assertIs(String name, String expected) throws IOException {
    Path page = DOCS.resolve(name);
    if ("write".equals(System.getProperty("sequoiapass.pages"))) {
      Files.writeString(page, expected);
    }
    assertThat(Files.readString(page)).isEqualTo(expected);
  }

  /** Asserts that a page contains some lines. */
  public static void assertHolds(String name, String... parts) throws IOException {
    assertThat(Files.readString(DOCS.resolve(name))).contains(parts);
  }
}
