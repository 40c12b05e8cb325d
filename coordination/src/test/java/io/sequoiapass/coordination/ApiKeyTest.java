package io.sequoiapass.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ApiKeyTest {

  private static final String SECRET = "asnmgkcuyj8pjbvk9m68";

  @Test
  void equalSecretsAreEqualKeys() {
    assertThat(ApiKey.of(SECRET)).isEqualTo(ApiKey.of(SECRET)).hasSameHashCodeAs(ApiKey.of(SECRET));
    assertThat(ApiKey.of(SECRET)).isNotEqualTo(ApiKey.of(SECRET + "x"));
  }

  /** Guards against a secret in a log line or an error message. */
  @Test
  void textShowsOnlyADigest() {
    String text = ApiKey.of(SECRET).toString();

    assertThat(text).matches("key-[0-9a-f]{8}").doesNotContain(SECRET.substring(0, 4));
    assertThat(text).isNotEqualTo(ApiKey.of("other").toString());
  }
}
