package dev.windbend.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The platform's settings file. Fields we do not know are ignored. */
public record Settings(
    String node,
    String zone,
    String clientListen,
    String peerListen,
    List<Seed> seeds,
    Services services,
    Deployment facts) {

  public record Seed(String node, String address) {}

  public record Services(String cloud, String state) {}

  public record Deployment(
      int nodes,
      List<String> zones,
      List<Team> teams,
      List<Objective> objectives,
      Workers workers,
      State state,
      Cloud cloud) {}

  /** A guarantee of 0 is none, and so is a limit of 0: a guest team may use what is left over. */
  public record Team(String name, double cores, double maxCores, double gpus, double maxGpus) {
    public Team {
      maxCores = maxCores == 0 ? Double.POSITIVE_INFINITY : maxCores;
      maxGpus = maxGpus == 0 ? Double.POSITIVE_INFINITY : maxGpus;
    }
  }

  public record Objective(String kind, String jobKind, Double withinS, Double times) {}

  public record Workers(double reportS, double leaseS, double cancelS) {}

  public record State(double rps, double writeRps, double valueKb, int ops) {}

  public record Cloud(double rps, double listLagS) {}

  /** What is wrong with a settings file, for people. */
  public static final class Invalid extends Exception {
    private static final long serialVersionUID = 1L;

    Invalid(String message) {
      super(message);
    }
  }

  public static Settings read(Path file) throws Invalid {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new Invalid("cannot read " + file + ": " + e.getClass().getSimpleName());
    }
  }

  static Settings parse(String toml) throws Invalid {
    Settings s = settings(TomlTable.parse(toml));
    s.check();
    return s;
  }

  private static Settings settings(TomlTable file) throws Invalid {
    List<Seed> seeds = new ArrayList<>();
    for (TomlTable seed : file.tables("seeds")) {
      seeds.add(new Seed(seed.text("host_name"), seed.text("addr")));
    }
    TomlTable services = file.table("services");
    return new Settings(
        file.text("host_name"),
        file.text("domain"),
        file.text("client_listen"),
        file.text("peer_bind"),
        seeds,
        services == null ? null : new Services(services.text("cloud"), services.text("state")),
        facts(file.table("facts")));
  }

  private static Deployment facts(TomlTable facts) throws Invalid {
    if (facts == null) {
      return null;
    }
    List<Team> teams = new ArrayList<>();
    for (TomlTable team : facts.tables("teams")) {
      teams.add(
          new Team(
              team.text("name"),
              team.number("cpus"),
              team.number("cpus_max"),
              team.number("gpus"),
              team.number("gpus_max")));
    }
    List<Objective> objectives = new ArrayList<>();
    for (TomlTable objective : facts.tables("objectives")) {
      objectives.add(
          new Objective(
              objective.text("kind"),
              objective.text("class"),
              objective.numberOrNull("within_s"),
              objective.numberOrNull("times")));
    }
    return new Deployment(
        facts.integer("size"),
        facts.texts("zones"),
        teams,
        objectives,
        workers(facts.table("workers")),
        state(facts.table("state")),
        cloud(facts.table("cloud")));
  }

  private static Workers workers(TomlTable workers) throws Invalid {
    return workers == null
        ? null
        : new Workers(
            workers.number("report_s"), workers.number("lease_s"), workers.number("cancel_s"));
  }

  private static State state(TomlTable state) throws Invalid {
    return state == null
        ? null
        : new State(
            state.number("rps"),
            state.number("write_rps"),
            state.number("value_kb"),
            state.integer("txn_ops"));
  }

  private static Cloud cloud(TomlTable cloud) throws Invalid {
    return cloud == null ? null : new Cloud(cloud.number("rps"), cloud.number("list_lag_s"));
  }

  private void check() throws Invalid {
    need(text(node), "host_name");
    address(clientListen, "client_listen");
    address(peerListen, "peer_bind");
    need(services != null, "services");
    address(services.cloud(), "services.cloud");
    address(services.state(), "services.state");
    need(facts != null, "facts");
    need(facts.nodes() >= 1, "facts.size");
    need(facts.zones() != null && !facts.zones().isEmpty(), "facts.zones");
    need(facts.teams() != null && !facts.teams().isEmpty(), "facts.teams");
    for (Team t : facts.teams()) {
      need(text(t.name()), "facts.teams.name");
      need(t.maxCores() >= t.cores() && t.cores() >= 0, "facts.teams.cpus of " + t.name());
      need(t.maxGpus() >= t.gpus() && t.gpus() >= 0, "facts.teams.gpus of " + t.name());
    }
    need(facts.workers() != null, "facts.workers");
    need(facts.workers().reportS() > 0, "facts.workers.report_s");
    need(facts.workers().leaseS() > 0, "facts.workers.lease_s");
    need(facts.workers().cancelS() > 0, "facts.workers.cancel_s");
    need(facts.state() != null, "facts.state");
    need(facts.state().rps() > 0, "facts.state.rps");
    need(facts.state().writeRps() > 0, "facts.state.write_rps");
    need(facts.state().ops() >= 2, "facts.state.txn_ops");
    need(facts.cloud() != null && facts.cloud().rps() > 0, "facts.cloud.rps");
    for (Seed p : peers()) {
      need(text(p.node()), "seeds.host_name");
      address(p.address(), "seeds.addr");
    }
  }

  public List<Seed> peers() {
    return seeds == null ? List.of() : seeds;
  }

  public List<Objective> objectives() {
    return facts.objectives() == null ? List.of() : facts.objectives();
  }

  private static boolean text(String s) {
    return s != null && !s.isBlank();
  }

  private static void need(boolean holds, String field) throws Invalid {
    if (!holds) {
      throw new Invalid("missing or invalid: " + field);
    }
  }

  private static void address(String s, String field) throws Invalid {
    int colon = s == null ? -1 : s.lastIndexOf(':');
    boolean ok = colon > 0 && s.substring(colon + 1).matches("[0-9]{1,5}");
    need(ok && Integer.parseInt(s.substring(colon + 1)) <= 65_535, field + " (host:port)");
  }
}
