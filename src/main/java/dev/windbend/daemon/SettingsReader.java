package dev.windbend.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads {@link Settings} from TOML. Unknown keys are ignored. */
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

  /** Parses and validates the text of a file. */
  static Settings parse(String toml) throws InvalidSettingsException {
    Settings settings = readSettings(TomlTable.parse(toml));
    SettingsValidator.validate(settings);
    return settings;
  }

  private static Settings readSettings(TomlTable root) throws InvalidSettingsException {
    List<Settings.Peer> peers = readPeers(root.tables("seeds"));
    TomlTable services = root.table("services");
    return new Settings(
        root.string("host_name"),
        root.string("domain"),
        root.string("client_listen"),
        root.string("peer_bind"),
        peers,
        readServices(services),
        readDeployment(root.table("facts")));
  }

  private static List<Settings.Peer> readPeers(List<TomlTable> tables)
      throws InvalidSettingsException {
    List<Settings.Peer> peers = new ArrayList<>();
    for (TomlTable table : tables) {
      peers.add(new Settings.Peer(table.string("host_name"), table.string("addr")));
    }
    return peers;
  }

  private static Settings.Services readServices(TomlTable services)
      throws InvalidSettingsException {
    return services == null
        ? null
        : new Settings.Services(services.string("cloud"), services.string("state"));
  }

  private static Settings.Deployment readDeployment(TomlTable deployment)
      throws InvalidSettingsException {
    if (deployment == null) {
      return null;
    }
    List<Settings.Team> teams = readTeams(deployment.tables("teams"));
    List<Settings.Objective> objectives = readObjectives(deployment.tables("objectives"));
    return new Settings.Deployment(
        deployment.integer("size"),
        deployment.strings("zones"),
        teams,
        objectives,
        readWorkers(deployment.table("workers")),
        readStateService(deployment.table("state")),
        readCloud(deployment.table("cloud")));
  }

  private static List<Settings.Team> readTeams(List<TomlTable> tables)
      throws InvalidSettingsException {
    List<Settings.Team> teams = new ArrayList<>();
    for (TomlTable table : tables) {
      teams.add(
          new Settings.Team(
              table.string("name"),
              table.number("cpus"),
              table.number("cpus_max"),
              table.number("gpus"),
              table.number("gpus_max")));
    }
    return teams;
  }

  private static List<Settings.Objective> readObjectives(List<TomlTable> tables)
      throws InvalidSettingsException {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (TomlTable table : tables) {
      objectives.add(
          new Settings.Objective(
              table.string("kind"),
              table.string("class"),
              table.optionalNumber("within_s"),
              table.optionalNumber("times")));
    }
    return objectives;
  }

  private static Settings.Workers readWorkers(TomlTable workers) throws InvalidSettingsException {
    return workers == null
        ? null
        : new Settings.Workers(
            workers.number("report_s"), workers.number("lease_s"), workers.number("cancel_s"));
  }

  private static Settings.StateService readStateService(TomlTable state)
      throws InvalidSettingsException {
    return state == null
        ? null
        : new Settings.StateService(
            state.number("rps"),
            state.number("write_rps"),
            state.number("value_kb"),
            state.integer("txn_ops"));
  }

  private static Settings.Cloud readCloud(TomlTable cloud) throws InvalidSettingsException {
    return cloud == null
        ? null
        : new Settings.Cloud(cloud.number("rps"), cloud.number("list_lag_s"));
  }
}
