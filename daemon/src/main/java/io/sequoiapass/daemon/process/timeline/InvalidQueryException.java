package io.sequoiapass.daemon.process.timeline;

/**
 * Thrown for an invalid filter of a timeline query; names the filter, its value and what is
 * allowed.
 */
public final class InvalidQueryException extends Exception {

  private static final long serialVersionUID = 1L;

  InvalidQueryException(String filter, String value, String allowed) {
    super(filter + ": '" + value + "' is wrong; allowed: " + allowed);
  }
}
