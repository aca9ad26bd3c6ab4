package dev.windbend.daemon;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The contents of the platform's settings file. {@link SettingsReader} reads the file and {@link
 * SettingsValidator} checks its values.
 *
 * @param controllerName this controller's name
 * @param zone zone that this controller runs in; null if the file does not state it
 * @param clientListenAddress host and port for users, workers and health checks
 * @param peerListenAddress host and port for other controllers and operators
 * @param peers the other controllers
 * @param services addresses of the cloud and the state service
 * @param deployment properties that all controllers of the deployment share
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
   * @param controllerName the controller's name
   * @param address host and port where the controller listens for its peers
   */
  record Peer(String controllerName, String address) {}

  /**
   * Addresses of the services that a controller uses.
   *
   * @param cloud host and port of the cloud's API
   * @param state host and port of the state service
   */
  record Services(String cloud, String state) {}

  /**
   * Properties that all controllers of the deployment share.
   *
   * @param controllers number of controllers
   * @param zones names of the zones
   * @param teams quotas of the teams; a team's position is its index
   * @param objectives service-level objectives of jobs
   * @param workers configuration of the workers
   * @param stateService limits of the state service
   * @param cloud limits of the cloud's API
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
   * A team's guaranteed and maximum resources. In the file, a maximum of 0 means that the team has
   * no limit, and a guarantee of 0 means that the team uses only what the other teams leave free.
   *
   * @param name the team's name in submissions
   * @param guaranteedCores number of cores that are guaranteed to the team
   * @param maxCores maximum number of cores; infinite if the file states 0
   * @param guaranteedGpus number of GPUs that are guaranteed to the team
   * @param maxGpus maximum number of GPUs; infinite if the file states 0
   */
  record Team(
      String name, double guaranteedCores, double maxCores, double guaranteedGpus, double maxGpus) {
    Team {
      maxCores = maxCores == 0 ? Double.POSITIVE_INFINITY : maxCores;
      maxGpus = maxGpus == 0 ? Double.POSITIVE_INFINITY : maxGpus;
    }
  }

  /**
   * A service-level objective of jobs.
   *
   * @param kind finished, deadline, wait or guarantee
   * @param jobKind kind of jobs that the objective applies to; null for an objective of kind
   *     guarantee
   * @param withinSeconds maximum time from a job's submission to its end (kind finished) or to its
   *     start (kinds wait and guarantee)
   * @param deadlineFactor for kind deadline: multiple of a job's own deadline within which the job
   *     should finish
   */
  record Objective(
      String kind, String jobKind, OptionalDouble withinSeconds, OptionalDouble deadlineFactor) {}

  /**
   * Configuration of the workers.
   *
   * @param heartbeatIntervalSeconds time between two heartbeats of a worker
   * @param leaseSeconds how long a worker keeps its tasks without a response to its heartbeats
   * @param cancelSeconds maximum time from a job's cancellation to the end of the job's tasks
   */
  record Workers(double heartbeatIntervalSeconds, double leaseSeconds, double cancelSeconds) {}

  /**
   * Limits of the state service for all controllers together.
   *
   * @param requestsPerSecond maximum request rate, transactions included
   * @param writesPerSecond maximum transaction rate
   * @param maxValueKib maximum size of a stored value in KiB
   * @param maxTransactionOps maximum number of conditions and changes in a transaction
   */
  record StateService(
      double requestsPerSecond,
      double writesPerSecond,
      double maxValueKib,
      int maxTransactionOps) {}

  /**
   * Limits of the cloud's API.
   *
   * @param requestsPerSecond maximum request rate of all controllers together
   * @param maxListLagSeconds maximum time by which the cloud's list of machines lags behind
   */
  record Cloud(double requestsPerSecond, double maxListLagSeconds) {}
}
