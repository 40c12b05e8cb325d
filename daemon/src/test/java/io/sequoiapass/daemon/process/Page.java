package io.sequoiapass.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Holds pages of the docs to the code; {@code -Dsequoiapass.pages=write} writes them anew. */
public final class Page {

  private static final Path DOCS = Path.of("..", "docs");

  private Page() {}

  /** Checks that a page is exactly what the code gives. */
  public static void assertIs(String name, String expected) throws IOException {
    Path page = DOCS.resolve(name);
    if ("write".equals(System.getProperty("sequoiapass.pages"))) {
      Files.writeString(page, expected);
    }
    assertThat(Files.readString(page)).isEqualTo(expected);
  }

  /** Checks that a page holds some lines. */
  public static void assertHolds(String name, String... parts) throws IOException {
    assertThat(Files.readString(DOCS.resolve(name))).contains(parts);
  }
}
