package io.sequoiapass.coordination;

/** Checks the text of identifiers. */
final class Names {

  /**
   * Longest identifier, in characters: what fits a header line and a log line with room to spare.
   */
  static final int MAX_LENGTH = 200;

  private Names() {}

  static void check(String what, String value) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(what + " must not be blank: " + value);
    }
    if (value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          what + " has " + value.length() + " characters, more than " + MAX_LENGTH);
    }
    if (!value.chars().allMatch(c -> c > ' ' && c < 127)) {
      throw new IllegalArgumentException(
          what + " holds a space or a character outside ASCII: " + value);
    }
  }
}
