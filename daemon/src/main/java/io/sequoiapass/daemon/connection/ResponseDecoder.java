package io.sequoiapass.daemon.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.function.Predicate;

/** Decodes the responses on one client connection; used on its event loop. */
final class ResponseDecoder extends HttpResponseDecoder {

  private Predicate<HttpHeaders> hasNoBody = headers -> false;

  /** Sets what tells from its headers whether a response has no body, as one to HEAD. */
  void bodiless(Predicate<HttpHeaders> test) {
    hasNoBody = test;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message) || hasNoBody.test(message.headers());
  }
}
