package io.sequoiapass.testbed;

import io.sequoiapass.testbed.cli.UsageException;
import java.io.IOException;

/** One command of the testbed. */
interface Command {

  /** Returns the help text, one line for each flag. */
  String help();

  /** Runs the command and returns its exit code. */
  int run(String... flags) throws UsageException, IOException, InterruptedException;
}
