package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ErrorKindTest {

  @Test
  void documentationMatchesErrorKinds() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "ERRORS.md"));
    assertThat(page.lines().filter(line -> line.startsWith("| `")).toList())
        .isEqualTo(Arrays.stream(ErrorKind.values()).map(ErrorKindTest::row).toList());
  }

  @ParameterizedTest
  @EnumSource
  void onlyNotRunIsSafeToRetryForAtMostOnceWork(ErrorKind kind) {
    assertThat(kind.retryAdvice().safeFor(Repeatability.AT_MOST_ONCE))
        .isEqualTo(kind.outcomeClass() == OutcomeClass.NOT_RUN);
  }

  // A transient refusal without a retry time lets callers retry immediately and all together.
  @ParameterizedTest
  @EnumSource
  void transientRefusalHasRetryTime(ErrorKind kind) {
    boolean isTransient = kind.retryAdvice() == RetryAdvice.SAFE && kind.httpStatus() >= 500;
    assertThat(isTransient && kind.comeBackMillis().isEmpty()).isFalse();
  }

  private static String row(ErrorKind kind) {
    String comeBack =
        kind.comeBackMillis().stream()
            .mapToObj(millis -> millis + " ms")
            .collect(Collectors.joining());
    return String.format(
        "| `%s` | %d | %s | %s | %s | %s |",
        kind,
        kind.httpStatus(),
        kind.outcomeClass(),
        kind.retryAdvice(),
        comeBack.isEmpty() ? "none" : comeBack,
        kind.message());
  }
}
