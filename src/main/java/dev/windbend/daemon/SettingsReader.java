package dev.windbend.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads {@link Settings} from TOML. Keys that it does not know are ignored. */
final class SettingsReader {
  private SettingsReader() {}

  /** Reads and validates the file. */
  static Settings read(Path file) throws InvalidSettingsException {
    String toml;
    try {
      toml = Files.readString(file);
    } catch (IOException e) {
      throw InvalidSettingsException.unreadable(file, e.getClass().getSimpleName(), e);
    }
    return parse(toml);
  }

  /** Reads and validates a file's text. */
  static Settings parse(String toml) throws InvalidSettingsException {
    Settings settings = settings(TomlTable.parse(toml));
    SettingsValidator.validate(settings);
    return settings;
  }

  private static Settings settings(TomlTable file) throws InvalidSettingsException {
    List<Settings.Peer> peers = peers(file.tables("seeds"));
    TomlTable services = file.table("services");
    return new Settings(
        file.text("host_name"),
        file.text("domain"),
        file.text("client_listen"),
        file.text("peer_bind"),
        peers,
        services(services),
        deployment(file.table("facts")));
  }

  private static List<Settings.Peer> peers(List<TomlTable> seeds) throws InvalidSettingsException {
    List<Settings.Peer> peers = new ArrayList<>();
    for (TomlTable seed : seeds) {
      peers.add(new Settings.Peer(seed.text("host_name"), seed.text("addr")));
    }
    return peers;
  }

  private static Settings.Services services(TomlTable services) throws InvalidSettingsException {
    return services == null
        ? null
        : new Settings.Services(services.text("cloud"), services.text("state"));
  }

  private static Settings.Deployment deployment(TomlTable deployment)
      throws InvalidSettingsException {
    if (deployment == null) {
      return null;
    }
    List<Settings.Team> teams = teams(deployment.tables("teams"));
    List<Settings.Objective> objectives = objectives(deployment.tables("objectives"));
    return new Settings.Deployment(
        deployment.integer("size"),
        deployment.texts("zones"),
        teams,
        objectives,
        workers(deployment.table("workers")),
        stateService(deployment.table("state")),
        cloud(deployment.table("cloud")));
  }

  private static List<Settings.Team> teams(List<TomlTable> tables) throws InvalidSettingsException {
    List<Settings.Team> teams = new ArrayList<>();
    for (TomlTable team : tables) {
      teams.add(
          new Settings.Team(
              team.text("name"),
              team.number("cpus"),
              team.number("cpus_max"),
              team.number("gpus"),
              team.number("gpus_max")));
    }
    return teams;
  }

  private static List<Settings.Objective> objectives(List<TomlTable> tables)
      throws InvalidSettingsException {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (TomlTable objective : tables) {
      objectives.add(
          new Settings.Objective(
              objective.text("kind"),
              objective.text("class"),
              objective.optionalNumber("within_s"),
              objective.optionalNumber("times")));
    }
    return objectives;
  }

  private static Settings.Workers workers(TomlTable workers) throws InvalidSettingsException {
    return workers == null
        ? null
        : new Settings.Workers(
            workers.number("report_s"), workers.number("lease_s"), workers.number("cancel_s"));
  }

  private static Settings.StateService stateService(TomlTable state)
      throws InvalidSettingsException {
    return state == null
        ? null
        : new Settings.StateService(
            state.number("rps"),
            state.number("write_rps"),
            state.number("value_kb"),
            state.integer("txn_ops"));
  }

  private static Settings.Cloud cloud(TomlTable cloud) throws InvalidSettingsException {
    return cloud == null
        ? null
        : new Settings.Cloud(cloud.number("rps"), cloud.number("list_lag_s"));
  }
}
