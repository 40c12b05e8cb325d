package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.gateway.spi.SettingsException;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class GatewayOptionsTest {

  @Test
  void nothingIsSwitchedOnByDefault() throws SettingsException {
    assertThat(GatewayOptions.of(OptionalInt.empty(), Map.of())).isEqualTo(GatewayOptions.NONE);
  }

  @Test
  void spillIsSwitchedOnByItsVariable() throws SettingsException {
    assertThat(GatewayOptions.of(OptionalInt.empty(), Map.of("SEQUOIAPASS_SPILL", "true")).spills())
        .isTrue();
  }

  @Test
  void otherValuesAreRejectedByName() {
    assertThatThrownBy(
            () -> GatewayOptions.of(OptionalInt.empty(), Map.of("SEQUOIAPASS_SPILL", "yes")))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("SEQUOIAPASS_SPILL");
  }
}
