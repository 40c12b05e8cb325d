import com.google.gson.JsonElement;
import com.google.gson.JsonParser;

/** The configuration of a small deployment: one engine service and one plain service. */
final class Site {

  static final String ENGINES = "notes-llm";
  static final String PLAIN = "intake-app";

  private Site() {}

  private static String route(
      String name, String prefix, String kind, long timeoutMs, String service, boolean resumable) {
    return ("{\"Name\":\"%s\",\"Host\":\"intake.example\",\"PathPrefix\":\"%s\","
            + "\"RouteKind\":\"%s\",\"TimeoutMs\":%d,\"TargetLatencyMs\":1000,\"Priority\":1,"
            + "\"Service\":\"%s\",\"MaxAttempts\":%d,\"Sticky\":%s,\"Resumable\":%s,"
            + "\"GapTargetMs\":400}")
        .formatted(
            name,
            prefix,
            kind,
            timeoutMs,
            service,
            resumable || kind.equals("idempotent") ? 2 : 1,
            service.equals(ENGINES),
            resumable);
  }

  static JsonElement configuration(long version) {
    String routes =
        String.join(
            ",",
            route("bale", "/bale/", "streaming", 5_000, ENGINES, true),
            route("mixed", "/mixed/", "streaming", 6_000, ENGINES, false),
            route("slip", "/slip/", "non_idempotent", 1_500, PLAIN, false),
            route("ticket", "/ticket/", "idempotent", 1_500, PLAIN, false));
    return JsonParser.parseString(
        """
        {"Version":%d,"Routes":[%s],"Services":[
          {"Name":"notes-llm","HealthPath":"/health","MaxConnections":480,"Protocol":"h1","Tls":false,
           "Engine":{"Slots":96,"KvCapacityTokens":201886,"KvBytes":131072,"LinkMbps":1100000.0,
           "Moves":true,"Backups":true,"Stride":5,"MaxCount":12,"HostMb":54000.0,"DiskMb":160000.0,
           "PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,
           "Models":[{"Name":"m0","WeightsMb":16100.0,"LoadS":0.6,"Adapters":3000,
           "AdapterSizeMb":14.0,"WarmS":0.27,"DiskS":0.35}],
           "WeightsMb":16500.0,"AdapterSlots":8,"LoadsPerS":4.2}},
          {"Name":"intake-app","HealthPath":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}],
         "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
           "IdleTimeoutMs":15000}}
        """
            .formatted(version, routes));
  }
}
