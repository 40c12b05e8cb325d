package io.sequoiapass.testbed.wire;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;

/** JSON mapping of the wire format; field names are in lower case with underscores. */
public final class Json {

  /** The mapping; safe for use by several threads. */
  public static final Gson GSON =
      new GsonBuilder()
          .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
          .disableHtmlEscaping()
          .create();

  private Json() {}
}
