package dev.windbend.daemon;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The platform's settings file: this controller, its peers, the services it uses and the
 * deployment. {@link SettingsReader} reads it, {@link SettingsValidator} checks it.
 *
 * @param controllerName this controller's name
 * @param zone the zone that it runs in
 * @param clientListenAddress host and port for users, workers and health checks
 * @param peerListenAddress host and port for other controllers and operators
 * @param peers the other controllers
 */
record Settings(
    String controllerName,
    String zone,
    String clientListenAddress,
    String peerListenAddress,
    List<Peer> peers,
    Services services,
    Deployment deployment) {

  /**
   * Another controller of the deployment.
   *
   * @param address host and port that it listens on for peers
   */
  record Peer(String controllerName, String address) {}

  /**
   * Addresses, as host and port.
   *
   * @param cloud the cloud's API
   * @param state the state service
   */
  record Services(String cloud, String state) {}

  /**
   * What is the same for all controllers of the deployment.
   *
   * @param controllers how many controllers there are
   * @param zones the names of the zones
   */
  record Deployment(
      int controllers,
      List<String> zones,
      List<Team> teams,
      List<Objective> objectives,
      Workers workers,
      StateService stateService,
      Cloud cloud) {}

  /**
   * A team's quota: what is guaranteed to it, and its limit. In the file a limit of 0 means none,
   * and a guarantee of 0 none either: such a team uses what the others leave.
   */
  record Team(
      String name, double guaranteedCores, double maxCores, double guaranteedGpus, double maxGpus) {
    Team {
      maxCores = maxCores == 0 ? Double.POSITIVE_INFINITY : maxCores;
      maxGpus = maxGpus == 0 ? Double.POSITIVE_INFINITY : maxGpus;
    }
  }

  /**
   * A service-level objective.
   *
   * @param kind finished, deadline, wait or guarantee
   * @param jobKind the kind of jobs that it is about; null for kind guarantee
   * @param withinSeconds seconds from submission to the end or to the start, by kind
   * @param deadlineFactor for kind deadline: how many times the job's own time limit
   */
  record Objective(
      String kind, String jobKind, OptionalDouble withinSeconds, OptionalDouble deadlineFactor) {}

  /**
   * What workers are configured with.
   *
   * @param heartbeatIntervalSeconds the interval of their heartbeats
   * @param leaseSeconds how long a worker runs on without an answer to its heartbeats
   * @param cancelSeconds the time within which a cancelled job's tasks must have ended
   */
  record Workers(double heartbeatIntervalSeconds, double leaseSeconds, double cancelSeconds) {}

  /**
   * The limits of the state service, for all controllers together.
   *
   * @param requestsPerSecond all requests
   * @param writesPerSecond the transactions among them
   * @param maxValueKib the largest value, in KiB
   * @param maxTransactionOps conditions and changes in one transaction
   */
  record StateService(
      double requestsPerSecond,
      double writesPerSecond,
      double maxValueKib,
      int maxTransactionOps) {}

  /**
   * The limits of the cloud's API.
   *
   * @param requestsPerSecond for all controllers together
   * @param maxListLagSeconds how old a listing of machines may be
   */
  record Cloud(double requestsPerSecond, double maxListLagSeconds) {}
}
