package io.sequoiapass.daemon.process;

import com.google.gson.Gson;

/**
 * Response body of {@code GET /status}, serialized by Gson.
 *
 * @param daemon the daemon's name
 * @param dataCentre its data centre
 * @param incarnation the number of its process
 * @param ready whether it accepts requests
 * @param draining whether it is stopping
 * @param lease the state of its lease
 * @param owned number of endpoints that it owns
 * @param revision the highest version of any configuration object that it holds
 * @param preset the active preset
 * @param requests number of callers' requests in flight
 * @param attempts number of attempts in flight on endpoints that it owns
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
