package io.sequoiapass.testbed;

import io.sequoiapass.testbed.policy.PolicyBench;

/** Compares placement policies; the policy bench prints its own help. */
final class PolicyCommand implements Command {

  @Override
  public String help() {
    PolicyBench.run(new String[] {"--help"});
    return "";
  }

  @Override
  public int run(String... flags) {
    return PolicyBench.run(flags);
  }
}
