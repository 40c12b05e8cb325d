package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.coordination.version.EndpointState;
import io.sequoiapass.coordination.version.EndpointType;
import io.sequoiapass.daemon.process.settings.Addresses;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.util.List;

/** Format of one kind of object in a configuration file, converted to the platform's value. */
enum ObjectFormat {
  ADAPTERS(PlatformKind.ADAPTER) {
    @Override
    JsonObject read(FileObject file) {
      JsonObject value = new JsonObject();
      value.addProperty("model", file.name("model"));
      List<String> versions = file.names("versions", false);
      String current = file.text("current", versions::contains, "one of the versions " + versions);
      value.addProperty("current", current);
      value.add("versions", array(versions));
      return value;
    }
  },
  SERVICES(PlatformKind.SERVICE) {
    @Override
    JsonObject read(FileObject file) {
      JsonObject value = new JsonObject();
      if (file.has("model")) {
        value.addProperty("model", file.name("model"));
      }
      value.add("adapters", array(file.names("adapters", true)));
      if (file.has("endpoints")) {
        value.add("endpoints", array(file.names("endpoints", false)));
      }
      value.addProperty("repeatable", file.flag("repeatable"));
      value.addProperty("priority", file.choice("priority", Priority.values()).name());
      value.addProperty("max_in_flight", file.number("max_in_flight", 1, MAX_IN_FLIGHT));
      return value;
    }
  },
  ENDPOINTS(PlatformKind.ENDPOINT) {
    @Override
    JsonObject read(FileObject file) {
      JsonObject value = new JsonObject();
      value.addProperty(
          "address", file.text("address", ObjectFormat::isAddress, Addresses.ALLOWED));
      value.addProperty("data_centre", file.name("data_centre"));
      value.addProperty("host", file.name("host"));
      EndpointType type = file.choice("type", EndpointType.values());
      value.addProperty("type", type.name());
      readType(file, type, value);
      value.addProperty("max_streams", file.number("max_streams", 1, MAX_STREAMS));
      value.addProperty("checks_fence", file.flag("checks_fence"));
      if (file.has(STATE)) {
        value.addProperty(STATE, file.choice(STATE, EndpointState.values()).name());
      }
      return value;
    }
  };

  /** The member that {@code drain} changes; if a file omits it, the platform's value is kept. */
  static final String STATE = "state";

  /** A service beyond this limit needs several entries, so that each can be monitored. */
  private static final long MAX_IN_FLIGHT = 100_000;

  private static final long MAX_STREAMS = 10_000;

  private static final long MAX_SLOTS = 1_024;

  private final PlatformKind kind;

  ObjectFormat(PlatformKind kind) {
    this.kind = kind;
  }

  PlatformKind kind() {
    return kind;
  }

  /** Returns the member of the file that contains objects of this kind. */
  String member() {
    return kind.word() + "s";
  }

  abstract JsonObject read(FileObject file);

  private static void readType(FileObject file, EndpointType type, JsonObject value) {
    if (type == EndpointType.ENGINE) {
      value.addProperty("model", file.name("model"));
      value.addProperty("slots", file.number("slots", 1, MAX_SLOTS));
    } else {
      value.addProperty("service", file.name("service"));
    }
  }

  private static boolean isAddress(String text) {
    try {
      Addresses.parse("address", text);
      return true;
    } catch (SettingsException e) {
      return false;
    }
  }

  private static JsonArray array(List<String> names) {
    JsonArray array = new JsonArray();
    names.forEach(array::add);
    return array;
  }
}
