package io.sequoiapass.daemon.process.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.process.Page;
import java.io.IOException;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class LogEventTest {

  @Test
  void numbersAreUniqueAndSorted() {
    assertThat(LogEvent.values()).extracting(LogEvent::id).doesNotHaveDuplicates().isSorted();
  }

  @ParameterizedTest
  @EnumSource(LogEvent.class)
  void formatAcceptsStringArgumentsAndDescriptionIsPresent(LogEvent event) {
    Object[] arguments = new Object[event.parameters()];
    Arrays.fill(arguments, "value");

    assertThat(String.format(event.format(), arguments)).doesNotContain("%");
    assertThat(event.description()).isNotBlank();
  }

  /**
   * Event numbers must keep their meaning because operators' alerts depend on them. A change of an
   * event's number, name or level therefore needs approval.
   */
  @Test
  void catalogueIsApproved() {
    String catalogue =
        Arrays.stream(LogEvent.values())
            .map(event -> event.id() + " " + event.name() + " " + event.level())
            .collect(Collectors.joining("\n"));
    Approvals.verify(catalogue, new Options().withReporter(new QuietReporter()));
  }

  @Test
  void pageListsEveryEvent() throws IOException {
    StringBuilder page = new StringBuilder("# Log events\n\n");
    page.append("Each line of the log names one of these numbers. A number never changes its");
    page.append(" meaning. This page is\ngenerated from the code and checked by a test; see");
    page.append(" [CONTRIBUTING](../CONTRIBUTING.md).\n");
    for (LogEvent event : LogEvent.values()) {
      page.append("\n## ").append(event.id()).append(' ').append(event.name()).append("\n\n");
      page.append("- level: ").append(event.level()).append('\n');
      page.append("- message: `").append(event.format()).append("`\n");
      page.append("- what to do: ").append(event.description()).append('\n');
    }
    Page.assertIs("EVENTS.md", page.toString());
  }
}
