package io.sequoiapass.coordination;

/** Validates the text of identifiers. */
final class Names {

  /**
   * Maximum length of an identifier, in characters; fits in a header line and a log line with room
   * to spare.
   */
  static final int MAX_LENGTH = 200;

  private Names() {}

  /** Returns whether a text is valid as an identifier. */
  static boolean isValid(String value) {
    return value != null && !value.isBlank() && value.length() <= MAX_LENGTH && isPrintable(value);
  }

  static void check(String what, String value) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(what + " must not be blank: " + value);
    }
    if (value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          what + " has " + value.length() + " characters, more than " + MAX_LENGTH);
    }
    if (!isPrintable(value)) {
      throw new IllegalArgumentException(
          what + " holds a space or a character outside ASCII: " + value);
    }
  }

  /**
   * Loops over the characters for speed: this runs four times for each token that passes through a
   * daemon.
   */
  private static boolean isPrintable(String value) {
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c <= ' ' || c > '~') {
        return false;
      }
    }
    return true;
  }
}
