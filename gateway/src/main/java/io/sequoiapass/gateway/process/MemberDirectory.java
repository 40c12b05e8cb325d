package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The other daemons of this daemon's region, as the coordinators report them.
 *
 * <p>What a coordinator that is lost has reported stays, since it is lost together with other
 * daemons. Safe for use by several threads.
 */
final class MemberDirectory {

  private final DaemonId self;
  private final DataCentreId here;
  private final Map<DataCentreId, Map<DaemonId, LinkMessage.Member>> reported = new HashMap<>();
  private List<LinkMessage.Member> members = List.of();
  private List<LinkMessage.Member> ranked = List.of();

  /**
   * Creates a directory without members.
   *
   * @param self this daemon
   * @param here its data centre
   */
  MemberDirectory(DaemonId self, DataCentreId here) {
    this.self = self;
    this.here = here;
  }

  /** Applies what the coordinator of a data centre reports. */
  synchronized void update(DataCentreId coordinator, LinkMessage.Members update) {
    Map<DaemonId, LinkMessage.Member> known =
        reported.computeIfAbsent(coordinator, any -> new HashMap<>());
    if (update.snapshot()) {
      known.clear();
    }
    update.joined().forEach(member -> known.put(member.daemon(), member));
    update.left().forEach(known::remove);
    Map<DaemonId, LinkMessage.Member> all = new HashMap<>();
    reported.values().forEach(all::putAll);
    all.remove(self);
    members = List.copyOf(all.values());
    ranked = rank(all);
  }

  /** Ranks the members for this daemon, with the data centres in turn, another one first. */
  private List<LinkMessage.Member> rank(Map<DaemonId, LinkMessage.Member> all) {
    Map<DataCentreId, List<LinkMessage.Member>> byDataCentre = new LinkedHashMap<>();
    List<LinkMessage.Member> own = new ArrayList<>();
    for (DaemonId daemon : RendezvousHash.rank(self.value(), all.keySet())) {
      LinkMessage.Member member = all.get(daemon);
      if (member.dataCentre().equals(here)) {
        own.add(member);
      } else {
        byDataCentre.computeIfAbsent(member.dataCentre(), any -> new ArrayList<>()).add(member);
      }
    }
    List<List<LinkMessage.Member>> turns = new ArrayList<>(byDataCentre.values());
    turns.add(Math.min(1, turns.size()), own);
    List<LinkMessage.Member> result = new ArrayList<>();
    for (int i = 0; result.size() < all.size(); i++) {
      for (List<LinkMessage.Member> turn : turns) {
        if (i < turn.size()) {
          result.add(turn.get(i));
        }
      }
    }
    return List.copyOf(result);
  }

  /** Returns the other daemons. */
  synchronized List<LinkMessage.Member> members() {
    return members;
  }

  /** Returns the daemons that are to keep this daemon's streams, best first. */
  synchronized List<LinkMessage.Member> ranked() {
    return ranked;
  }
}
