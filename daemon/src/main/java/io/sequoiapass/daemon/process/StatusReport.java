package io.sequoiapass.daemon.process;

import com.google.gson.Gson;

/**
 * Is the answer to {@code GET /status}, as Gson writes it.
 *
 * @param daemon the daemon
 * @param dataCentre its data centre
 * @param incarnation its process's number
 * @param ready whether it takes requests
 * @param draining whether it is stopping
 * @param lease how its lease stands
 * @param owned endpoints that it owns
 * @param revision the highest version of any configuration object that it holds
 * @param preset the preset in force
 * @param requests requests of callers under way
 * @param attempts attempts under way on endpoints that it owns
 */
record StatusReport(
    String daemon,
    String dataCentre,
    long incarnation,
    boolean ready,
    boolean draining,
    String lease,
    int owned,
    long revision,
    String preset,
    int requests,
    int attempts) {

  String json() {
    return new Gson().toJson(this);
  }
}
