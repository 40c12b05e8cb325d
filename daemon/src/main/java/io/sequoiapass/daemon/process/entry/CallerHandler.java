package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.HttpFault;
import io.sequoiapass.daemon.connection.HttpHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.request.CallerRequest;
import io.sequoiapass.daemon.request.CallerRequestParser;
import io.sequoiapass.daemon.request.ErrorAnswer;
import io.sequoiapass.daemon.request.InvalidRequestException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** HTTP handler for requests of callers; safe for use by several threads. */
public final class CallerHandler implements HttpHandler {

  private final CallerRequestParser parser;
  private final Supplier<ConfigurationSnapshot> snapshots;
  private final Supplier<Optional<ErrorKind>> closed;
  private final Predicate<Priority> admitted;
  private final EntryShards entries;

  /**
   * Creates a handler.
   *
   * @param parser parses requests
   * @param snapshots supplies the current configuration
   * @param closed supplies the reason why all requests are rejected; empty while they are accepted
   * @param admitted tests whether the active preset admits a priority
   * @param entries processes accepted requests
   */
  public CallerHandler(
      CallerRequestParser parser,
      Supplier<ConfigurationSnapshot> snapshots,
      Supplier<Optional<ErrorKind>> closed,
      Predicate<Priority> admitted,
      EntryShards entries) {
    this.parser = Objects.requireNonNull(parser, "parser");
    this.snapshots = Objects.requireNonNull(snapshots, "snapshots");
    this.closed = Objects.requireNonNull(closed, "closed");
    this.admitted = Objects.requireNonNull(admitted, "admitted");
    this.entries = Objects.requireNonNull(entries, "entries");
  }

  @Override
  public void handle(HttpRequestMessage message, HttpResponder responder) {
    String path = message.path();
    if (!path.equals(CallerRequestParser.COMPLETIONS)
        && !path.startsWith(CallerRequestParser.SERVICES)) {
      ErrorAnswer.refuse(responder, ErrorKind.MALFORMED_REQUEST, "no such path: " + path);
      return;
    }
    if (path.equals(CallerRequestParser.COMPLETIONS) && !message.method().equals("POST")) {
      ErrorAnswer.refuse(
          responder, ErrorKind.MALFORMED_REQUEST, "use POST, not " + message.method());
      return;
    }
    Optional<ErrorKind> reason = closed.get();
    if (reason.isPresent()) {
      ErrorAnswer.refuse(responder, reason.get(), "");
      return;
    }
    accept(message, responder);
  }

  private void accept(HttpRequestMessage message, HttpResponder responder) {
    ConfigurationSnapshot snapshot = snapshots.get();
    CallerRequest request;
    try {
      request = parser.parse(message, snapshot);
    } catch (InvalidRequestException invalid) {
      ErrorAnswer.refuse(responder, invalid.kind(), invalid.getMessage());
      return;
    }
    if (!admitted.test(request.priority())) {
      // Rejected before any hop, so that excluded priorities add no load during a peak.
      ErrorAnswer.refuse(
          responder,
          ErrorKind.OVERLOADED,
          "the active preset does not admit requests of priority " + request.priority());
      return;
    }
    entries.accept(request, snapshot, responder);
  }

  @Override
  public void refuse(HttpFault fault, HttpResponder responder) {
    if (fault == HttpFault.INTERNAL) {
      // The request may have run, unlike one that was not read.
      HttpHandler.super.refuse(fault, responder);
      return;
    }
    ErrorKind kind =
        switch (fault) {
          case MALFORMED -> ErrorKind.MALFORMED_REQUEST;
          case LINE_TOO_LONG, HEADERS_TOO_LARGE -> ErrorKind.HEADERS_TOO_LARGE;
          case BODY_TOO_LARGE -> ErrorKind.BODY_TOO_LARGE;
          case NO_MEMORY -> ErrorKind.OVERLOADED;
          case INTERNAL ->
              throw new IllegalArgumentException(fault + " is no fault of the request");
        };
    ErrorAnswer.refuse(responder, kind, "");
  }
}
