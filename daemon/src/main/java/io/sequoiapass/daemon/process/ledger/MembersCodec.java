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

/** Converts the members of the ledger to and from their JSON object on the platform. */
final class MembersCodec {

  private static final Gson GSON = new Gson();

  private MembersCodec() {}

  static JsonObject json(Set<LedgerMember> members) {
    Map<String, Long> incarnations = new TreeMap<>();
    members.forEach(member -> incarnations.put(member.daemon().value(), member.incarnation()));
    return GSON.toJsonTree(new MembersValue(incarnations)).getAsJsonObject();
  }

  /** Returns the members; empty if the value is malformed. */
  static Optional<Set<LedgerMember>> members(JsonObject value) {
    try {
      Set<LedgerMember> members = new TreeSet<>();
      GSON.fromJson(value, MembersValue.class)
          .members()
          .forEach(
              (daemon, incarnation) ->
                  members.add(new LedgerMember(new DaemonId(daemon), incarnation)));
      return Optional.of(members);
    } catch (JsonParseException | IllegalArgumentException | NullPointerException unreadable) {
      return Optional.empty();
    }
  }

  private record MembersValue(Map<String, Long> members) {}
}
