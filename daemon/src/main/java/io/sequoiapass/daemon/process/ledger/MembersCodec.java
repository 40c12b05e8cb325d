package io.sequoiapass.daemon.process.ledger;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.request.LedgerMember;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Maps the members of the ledger to their object on the platform. */
final class MembersCodec {

  private static final Gson GSON = new Gson();

  private MembersCodec() {}

  static JsonObject json(Set<LedgerMember> members) {
    Map<String, Long> lives = new TreeMap<>();
    members.forEach(member -> lives.put(member.daemon().value(), member.incarnation()));
    return GSON.toJsonTree(new MembersValue(lives)).getAsJsonObject();
  }

  /** Returns the members; empty if the value cannot be read. */
  static Optional<Set<LedgerMember>> members(JsonObject value) {
    try {
      Set<LedgerMember> members = new TreeSet<>();
      GSON.fromJson(value, MembersValue.class)
          .members()
          .forEach((daemon, life) -> members.add(new LedgerMember(new DaemonId(daemon), life)));
      return Optional.of(members);
    } catch (JsonParseException | IllegalArgumentException | NullPointerException unreadable) {
      return Optional.empty();
    }
  }

  private record MembersValue(Map<String, Long> members) {}
}
