package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.gateway.process.PartKey;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * What of a request may end endpoints: the parts of its prompt that other requests may have too,
 * and the request as a whole.
 *
 * <p>The request as a whole is what it asks for. Its id is not, so that the attempts of one caller
 * have the same traits under all their ids, at all daemons. Safe for use by several threads.
 */
public final class CrashTraits {

  private final ServiceId service;
  private final Optional<Generation> generation;
  private final Supplier<byte[]> content;
  private volatile PartKey request;

  private CrashTraits(
      ServiceId service, Optional<Generation> generation, Supplier<byte[]> content) {
    this.service = service;
    this.generation = generation;
    this.content = content;
  }

  /**
   * Returns the traits of a request.
   *
   * @param service the service that answers it
   * @param generation the generation; empty for a plain call
   * @param request the request
   */
  public static CrashTraits of(
      ServiceId service, Optional<Generation> generation, HttpRequestMessage request) {
    String name = "request " + request.method() + " " + request.target();
    return new CrashTraits(
        service,
        generation.filter(prompt -> !prompt.parts().isEmpty()),
        () -> PartKey.join(name, request.body()));
  }

  /**
   * Returns the traits of a generation whose prompt has parts.
   *
   * @param service the service that answers it
   * @param generation the generation
   */
  public static CrashTraits of(ServiceId service, Generation generation) {
    return new CrashTraits(service, Optional.of(generation), () -> new byte[0]);
  }

  /** Returns whether this is a plain call; many callers may ask for the same. */
  public boolean isPlainCall() {
    return generation.isEmpty();
  }

  /** Returns the key of the request as a whole; computed when it is first needed. */
  public PartKey request() {
    PartKey known = request;
    if (known == null) {
      known = generation.map(this::prompt).orElseGet(() -> PartKey.of(service, content.get()));
      request = known;
    }
    return known;
  }

  private PartKey prompt(Generation prompt) {
    String parts =
        prompt.parts().stream()
            .map(Generation.PromptPart::id)
            .collect(Collectors.joining(",", "prompt " + prompt.model() + " ", " "));
    return PartKey.of(service, parts + prompt.adapter().map(Object::toString).orElse(""));
  }

  /** Returns the parts of the prompt that other requests may have too. */
  public List<PartKey> parts() {
    return generation.map(Generation::sharedParts).orElse(List.of()).stream()
        .map(part -> PartKey.of(service, part.id()))
        .distinct()
        .toList();
  }
}
