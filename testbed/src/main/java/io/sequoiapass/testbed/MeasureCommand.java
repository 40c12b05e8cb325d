package io.sequoiapass.testbed;

import io.sequoiapass.testbed.cli.UsageException;
import io.sequoiapass.testbed.measure.MeasureTopic;
import java.io.IOException;
import java.util.Arrays;
import java.util.Locale;

/** Runs the measurement that its first argument names. */
final class MeasureCommand implements Command {

  @Override
  public String help() {
    StringBuilder help = new StringBuilder();
    for (MeasureTopic topic : MeasureTopic.values()) {
      help.append("measure ").append(name(topic)).append('\n').append(topic.help());
    }
    return help.toString();
  }

  private static String name(MeasureTopic topic) {
    return topic.name().toLowerCase(Locale.ROOT);
  }

  @Override
  public int run(String... arguments) throws UsageException, IOException, InterruptedException {
    for (MeasureTopic topic : MeasureTopic.values()) {
      if (arguments.length > 0 && arguments[0].equals(name(topic))) {
        return topic.measure(Arrays.copyOfRange(arguments, 1, arguments.length));
      }
    }
    throw new UsageException("unknown or missing measurement topic; usage:\n" + help());
  }
}
