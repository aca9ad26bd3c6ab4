package dev.windbend.daemon;

/**
 * Validates {@link Settings} after they are read. Before validation, the value of a missing key is
 * null or 0. After validation, only {@link Settings#zone} and the kind and job kind of an objective
 * may be null.
 */
final class SettingsValidator {
  private static final String TOP_LEVEL = "";
  private static final String SERVICES = "services";
  private static final String DEPLOYMENT = "facts";
  private static final String TEAMS = "facts.teams";
  private static final String WORKERS = "facts.workers";
  private static final String STATE_SERVICE = "facts.state";
  private static final String CLOUD = "facts.cloud";
  private static final String PEERS = "seeds";
  private static final int MIN_TRANSACTION_OPS = 2;
  private static final int MAX_PORT = 65_535;

  private SettingsValidator() {}

  /**
   * Validates the settings.
   *
   * @throws InvalidSettingsException for the first key that is missing or has an invalid value
   */
  static void validate(Settings settings) throws InvalidSettingsException {
    require(isNotBlank(settings.controllerName()), TOP_LEVEL, "host_name");
    requireAddress(settings.clientListenAddress(), TOP_LEVEL, "client_listen");
    requireAddress(settings.peerListenAddress(), TOP_LEVEL, "peer_bind");
    require(settings.services() != null, TOP_LEVEL, SERVICES);
    requireAddress(settings.services().cloud(), SERVICES, "cloud");
    requireAddress(settings.services().state(), SERVICES, "state");
    require(settings.deployment() != null, TOP_LEVEL, DEPLOYMENT);
    validate(settings.deployment());
    for (Settings.Peer peer : settings.peers()) {
      require(isNotBlank(peer.controllerName()), PEERS, "host_name");
      requireAddress(peer.address(), PEERS, "addr");
    }
  }

  private static void validate(Settings.Deployment deployment) throws InvalidSettingsException {
    require(deployment.controllers() >= 1, DEPLOYMENT, "size");
    require(!deployment.zones().isEmpty(), DEPLOYMENT, "zones");
    require(!deployment.teams().isEmpty(), DEPLOYMENT, "teams");
    for (Settings.Team team : deployment.teams()) {
      validate(team);
    }
    validate(deployment.workers());
    validate(deployment.stateService());
    Settings.Cloud cloud = deployment.cloud();
    require(cloud != null && cloud.requestsPerSecond() > 0, CLOUD, "rps");
  }

  private static void validate(Settings.Team team) throws InvalidSettingsException {
    require(isNotBlank(team.name()), TEAMS, "name");
    requireQuota(team.guaranteedCores(), team.maxCores(), "cpus", team);
    requireQuota(team.guaranteedGpus(), team.maxGpus(), "gpus", team);
  }

  private static void validate(Settings.Workers workers) throws InvalidSettingsException {
    require(workers != null, DEPLOYMENT, "workers");
    require(workers.heartbeatIntervalSeconds() > 0, WORKERS, "report_s");
    require(workers.leaseSeconds() > 0, WORKERS, "lease_s");
    require(workers.cancelSeconds() > 0, WORKERS, "cancel_s");
  }

  private static void validate(Settings.StateService state) throws InvalidSettingsException {
    require(state != null, DEPLOYMENT, "state");
    require(state.requestsPerSecond() > 0, STATE_SERVICE, "rps");
    require(state.writesPerSecond() > 0, STATE_SERVICE, "write_rps");
    require(state.maxTransactionOps() >= MIN_TRANSACTION_OPS, STATE_SERVICE, "txn_ops");
  }

  private static void requireQuota(double guaranteed, double max, String key, Settings.Team team)
      throws InvalidSettingsException {
    if (!(max >= guaranteed && guaranteed >= 0)) {
      throw InvalidSettingsException.missingOrInvalid(TEAMS, key, "of " + team.name());
    }
  }

  private static void requireAddress(String address, String section, String key)
      throws InvalidSettingsException {
    int colon = address == null ? -1 : address.lastIndexOf(':');
    boolean hasPort = colon > 0 && address.substring(colon + 1).matches("[0-9]{1,5}");
    if (!hasPort || Integer.parseInt(address.substring(colon + 1)) > MAX_PORT) {
      throw InvalidSettingsException.missingOrInvalid(section, key, "(host:port)");
    }
  }

  private static void require(boolean condition, String section, String key)
      throws InvalidSettingsException {
    if (!condition) {
      throw InvalidSettingsException.missingOrInvalid(section, key);
    }
  }

  private static boolean isNotBlank(String text) {
    return text != null && !text.isBlank();
  }
}
