package io.sequoiapass.coordination;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AdapterVersionTest {

  @Property(tries = 50, seed = "1")
  void parseInvertsToString(
      @ForAll @AlphaChars @StringLength(min = 1, max = 20) String adapter,
      @ForAll @AlphaChars @StringLength(min = 1, max = 20) String version) {
    AdapterVersion written = AdapterVersion.parse(adapter + "@" + version);
    assertThat(AdapterVersion.parse(written.toString())).isEqualTo(written);
  }

  @Nested
  class InvalidText {

    @ParameterizedTest
    @ValueSource(strings = {"", "a", "@v", "a@"})
    void messageContainsTextWithMissingPart(String text) {
      assertThatThrownBy(() -> AdapterVersion.parse(text))
          .isInstanceOf(IllegalArgumentException.class)
          .hasMessageContaining(text);
    }

    @Test
    void rejectsSpaces() {
      assertThatThrownBy(() -> AdapterVersion.parse("a b@v")).hasMessageContaining("a b");
    }
  }
}
