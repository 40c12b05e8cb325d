package io.sequoiapass.daemon.connection.platform;

import com.google.gson.annotations.SerializedName;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.coordination.version.HostReport;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The platform's list of hosts, read by Gson.
 *
 * @param hosts the hosts
 * @param tag entity tag of this version of the list; empty if the platform sends none
 */
public record HostList(List<Host> hosts, String tag) {

  private static final String LEAVING = "LEAVING";

  /**
   * A host of the list.
   *
   * @param host its name
   * @param dataCentre its data centre
   * @param state LIVE or LEAVING
   * @param endpoints the endpoints on it
   */
  public record Host(
      String host,
      @SerializedName("data_centre") String dataCentre,
      String state,
      List<String> endpoints) {

    private HostReport report() {
      return new HostReport(
          new HostId(host),
          LEAVING.equals(state) ? HostHint.LEAVING : HostHint.LIVE,
          endpoints.stream().map(EndpointId::new).collect(Collectors.toSet()));
    }
  }

  HostList withTag(String newTag) {
    return new HostList(hosts, newTag);
  }

  /**
   * Returns the reports on the hosts of a data centre.
   *
   * @param dataCentre the data centre
   * @throws ObjectFormatException if an entry cannot be read
   */
  public List<HostReport> reportsFor(DataCentreId dataCentre) throws ObjectFormatException {
    try {
      return hosts.stream()
          .filter(host -> dataCentre.value().equals(host.dataCentre()))
          .map(Host::report)
          .toList();
    } catch (IllegalArgumentException | NullPointerException e) {
      throw new ObjectFormatException("host list: " + e.getMessage(), e);
    }
  }
}
