package io.sequoiapass.daemon.process.command;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;

/** Shows objects of the platform. */
final class ShowCommand {

  private static final Gson GSON =
      new GsonBuilder().disableHtmlEscaping().setPrettyPrinting().create();

  private ShowCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    List<String> words = invocation.words(1, 2, Command.SHOW.usage());
    PlatformKind kind = PlatformKind.parse(words.get(0));
    var platformAddress = invocation.platform();
    try (CommandClient client = new CommandClient(invocation.timeoutMs())) {
      PlatformSession platform = new PlatformSession(client, platformAddress);
      List<StoredObject> objects =
          words.size() == 1 ? platform.list(kind) : List.of(one(platform, kind, words.get(1)));
      print(invocation, objects);
      return ExitCode.OK;
    }
  }

  private static StoredObject one(PlatformSession platform, PlatformKind kind, String name)
      throws CommandException {
    return platform
        .find(kind, name)
        .orElseThrow(
            () ->
                new CommandException(
                    ExitCode.FAILED, "the platform holds no " + kind.word() + " '" + name + "'"));
  }

  private static void print(Invocation invocation, List<StoredObject> objects) {
    PrintStream out = invocation.out();
    if (invocation.has(CommandFlag.JSON)) {
      out.println(GSON.toJson(objects));
      return;
    }
    objects.stream()
        .sorted(Comparator.comparing(StoredObject::name))
        .forEach(
            o -> out.println(o.kind() + " " + o.name() + " @" + o.version() + " " + o.value()));
  }
}
