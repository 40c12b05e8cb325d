package io.sequoiapass.daemon.process;

import io.sequoiapass.daemon.process.timeline.TimelineQuery;

/** Is what operators may see and do; safe for use by several threads. */
interface OperatorView {

  /** Returns whether the daemon takes requests. */
  boolean ready();

  /** Returns all metrics as JSON. */
  String metrics();

  /** Returns what the daemon holds and does, as JSON. */
  String status();

  /** Returns the events that a query selects, as JSON. */
  String timeline(TimelineQuery query);

  /** Begins a planned stop. */
  void drain();
}
