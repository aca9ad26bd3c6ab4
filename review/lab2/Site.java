import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: its settings, and what the stand-ins share. */
final class Site {
  /** A team with its guarantee and limit in CPUs. */
  record Team(String name, double cpus, double cpusMax) {}

  /** A machine type that every zone offers. */
  record Rig(String label, double cores, double ramGb, double readyS, double pullGbPerS) {}

  final String[] zones;
  final double reportS;
  final double leaseS;
  final double cancelS;
  final double stateRps;
  final double stateWriteRps;
  final double cloudRps;
  final double listLagS;
  final List<Team> teams = new ArrayList<>();
  final List<String> objectives = new ArrayList<>();
  final Rig rig;

  /** Jobs as their users submitted them, by uid. */
  final Map<String, Map<String, Object>> jobs = new LinkedHashMap<>();

  /** Run time in seconds of the tasks of each job, by uid. */
  final Map<String, Double> runS = new HashMap<>();

  private Site(
      String[] zones,
      double[] workers,
      double[] state,
      double[] cloud,
      Rig rig,
      List<String> objectives) {
    this.zones = zones;
    this.reportS = workers[0];
    this.leaseS = workers[1];
    this.cancelS = workers[2];
    this.stateRps = state[0];
    this.stateWriteRps = state[1];
    this.cloudRps = cloud[0];
    this.listLagS = cloud[1];
    this.rig = rig;
    this.objectives.addAll(objectives);
  }

  /** The fuel delivery cluster of the brief. */
  static Site kauri() {
    Site site =
        new Site(
            new String[] {"auckland-rack", "dunedin-rack"},
            new double[] {3.0, 30.0, 50.0},
            new double[] {120.0, 25.0},
            new double[] {6.0, 4.0},
            new Rig("kahikatea-32", 32, 64, 30, 0.25),
            List.of(
                "kind = \"deadline\"\nclass = \"drop-pricing\"\nshare = 0.96\ntimes = 1.0",
                "kind = \"wait\"\nclass = \"route-build\"\nwithin_s = 4.0\nshare = 0.9",
                "kind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.94"));
    site.teams.add(new Team("north-yard", 232, 344));
    site.teams.add(new Team("south-yard", 232, 664));
    site.teams.add(new Team("billing-desk", 232, 760));
    site.teams.add(new Team("tank-care", 136, 480));
    return site;
  }

  /** The lending cluster of the brief. */
  static Site nile() {
    Site site =
        new Site(
            new String[] {"giza-room"},
            new double[] {1.5, 14.0, 34.0},
            new double[] {150.0, 20.0},
            new double[] {3.0, 4.0},
            new Rig("papyrus-16", 16, 128, 15, 0.3),
            List.of(
                "kind = \"finished\"\nclass = \"loan-tally\"\nwithin_s = 100.0\nshare = 0.8",
                "kind = \"deadline\"\nclass = \"licence-expiry\"\nshare = 0.98\ntimes = 1.0"));
    site.teams.add(new Team("members-desk", 176, 448));
    site.teams.add(new Team("publisher-desk", 320, 888));
    return site;
  }

  synchronized void submitted(Map<String, Object> job, double taskRunS) {
    jobs.put((String) job.get("uid"), job);
    runS.put((String) job.get("uid"), taskRunS);
  }

  synchronized Map<String, Object> job(String uid) {
    return jobs.get(uid);
  }

  synchronized double runSeconds(String uid) {
    return runS.get(uid);
  }

  /** The settings file of one controller. */
  String settings(
      int index, String[] clientAddresses, String[] peerAddresses, HttpServer cloud, HttpServer state) {
    StringBuilder toml = new StringBuilder();
    toml.append("host_name = \"mast-").append(index).append("\"\n");
    toml.append("domain = \"").append(zones[index % zones.length]).append("\"\n");
    toml.append("client_listen = \"").append(clientAddresses[index]).append("\"\n");
    toml.append("peer_bind = \"").append(peerAddresses[index]).append("\"\n");
    for (int peer = 0; peer < peerAddresses.length; peer++) {
      if (peer != index) {
        toml.append("\n[[seeds]]\nhost_name = \"mast-").append(peer).append("\"\n");
        toml.append("domain = \"").append(zones[peer % zones.length]).append("\"\n");
        toml.append("addr = \"").append(peerAddresses[peer]).append("\"\n");
      }
    }
    toml.append("\n[services]\ncloud = \"").append(Http.address(cloud)).append("\"\n");
    toml.append("state = \"").append(Http.address(state)).append("\"\n");
    toml.append("\n[facts]\nsize = ").append(peerAddresses.length).append("\nzones = [");
    for (int zone = 0; zone < zones.length; zone++) {
      toml.append(zone == 0 ? "\"" : ", \"").append(zones[zone]).append('"');
    }
    toml.append("]\nskew_ms = 1000.0\n");
    for (Team team : teams) {
      toml.append("\n[[facts.teams]]\nname = \"").append(team.name()).append("\"\n");
      toml.append("cpus = ").append(team.cpus()).append("\ncpus_max = ").append(team.cpusMax());
      toml.append("\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    for (String objective : objectives) {
      toml.append("\n[[facts.objectives]]\n").append(objective).append('\n');
    }
    toml.append("\n[facts.workers]\nreport_s = ").append(reportS);
    toml.append("\nlease_s = ").append(leaseS).append("\ncancel_s = ").append(cancelS);
    toml.append("\n\n[facts.state]\nrps = ").append(stateRps);
    toml.append("\nwrite_rps = ").append(stateWriteRps).append("\nvalue_kb = 4.0\ntxn_ops = 8\n");
    toml.append("\n[facts.cloud]\nrps = ").append(cloudRps);
    toml.append("\nlist_lag_s = ").append(listLagS).append('\n');
    toml.append("\n[facts.machine_limits]\ncores = 0.425\nmem_mb = 436.0\nfd_limit = 3500\n");
    return toml.toString();
  }
}
