package io.sequoiapass.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.Random;
import org.junit.jupiter.api.Test;

class HeldResponseTest {

  private static final long SEED = 1;
  private static final int MOST_PART_BYTES = 20_000;
  private static final int SHORT_PARTS = 1 << 23;

  private final HeldResponse held =
      new HeldResponse(new ResponseMemory(ResponseMemory.DEFAULT_BYTES, Runnable::run), () -> {});

  @Test
  void holdsPartsOfAnyLengthInOrder() {
    Random random = new Random(SEED);
    ByteArrayOutputStream expected = new ByteArrayOutputStream();
    for (int i = 0; i < 200; i++) {
      byte[] part = new byte[random.nextInt(1 + random.nextInt(MOST_PART_BYTES))];
      random.nextBytes(part);
      expected.writeBytes(part);

      assertThat(held.add(part)).isTrue();
    }

    assertThat(held.take()).isEqualTo(expected.toByteArray());
  }

  /** Guards against short parts that take many times the memory of their bytes. */
  @Test
  void shortPartsTakeLittleMoreThanTheirBytes() {
    long before = usedBytes();
    byte[] part = new byte[1];
    for (int i = 0; i < SHORT_PARTS; i++) {
      held.add(part.clone());
    }

    assertThat(usedBytes() - before).isLessThan(2L * SHORT_PARTS);
    assertThat(held.size()).isEqualTo(SHORT_PARTS);
  }

  private static long usedBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
