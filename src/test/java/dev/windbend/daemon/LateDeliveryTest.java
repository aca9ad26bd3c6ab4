package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.crashControllers;
import static dev.windbend.daemon.FaultInjection.hangRandomMachine;
import static dev.windbend.daemon.FaultInjection.randomMachine;
import static dev.windbend.daemon.FaultInjection.repeat;
import static dev.windbend.daemon.FaultInjection.stateServiceOutage;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Scenarios in virtual time in which requests and responses take effect late. */
class LateDeliveryTest {
  private static final int SEEDS = 4;
  private static final long FAULTS_END_MS = 160_000;
  private static final long SCENARIO_MS = 600_000;

  /** Time after which an idle machine has reached the end of its billing block. */
  private static final long IDLE_MACHINES_RETURNED_MS = 300_000;

  private static Arguments scenario(String name, int seedBase, Consumer<SimulatedCluster> faults) {
    return Arguments.of(name, seedBase, faults);
  }

  private static void crashRandomController(SimulatedCluster cluster, long restartDelayMs) {
    crashControllers(cluster, restartDelayMs, cluster.random.nextInt(3));
  }

  private static void restartRandomMachine(SimulatedCluster cluster) {
    FakeWorker machine = randomMachine(cluster);
    if (machine != null) {
      machine.restart(cluster.random.nextInt(900));
    }
  }

  static Stream<Arguments> lateMachines() {
    return Stream.of(
        scenario(
            "scale-outs and scale-ins are executed late",
            417_300_911,
            cluster -> cluster.delayedCloudCallProbability = 0.5),
        scenario(
            "scale-outs and scale-ins are executed late, leaders change",
            -1_930_118_402,
            cluster -> {
              cluster.delayedCloudCallProbability = 0.5;
              repeat(cluster, 15_000, 12_000, 10, () -> crashRandomController(cluster, 6_000));
            }),
        scenario(
            "machines restart within a second while leaders change",
            702_551_093,
            cluster -> {
              cluster.additionalRunMs = 10_000;
              repeat(cluster, 14_000, 1_500, 80, () -> restartRandomMachine(cluster));
              repeat(cluster, 15_000, 9_000, 12, () -> crashRandomController(cluster, 300));
            }),
        scenario(
            "records of machines are written late, scale-outs and scale-ins are executed late",
            1_264_777_310,
            cluster -> {
              cluster.delayedCloudCallProbability = 0.4;
              cluster.delayedWriteProbability = 0.15;
              repeat(cluster, 20_000, 15_000, 8, () -> crashRandomController(cluster, 5_000));
              cluster.time.schedule(60_000, () -> stateServiceOutage(cluster, 20_000));
            }));
  }

  /** Machines whose scale-out or scale-in takes effect late are used correctly, or returned. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("lateMachines")
  void lateMachinesRunNoUnknownTaskAndAreReturned(
      String name, int seedBase, Consumer<SimulatedCluster> faults) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedCluster cluster = run(seedBase + 31 * seed, faults);
      cluster.time.runUntil(SCENARIO_MS + IDLE_MACHINES_RETURNED_MS);
      assertThat(cluster.machines.keySet()).as("machines still paid, seed %d", seed).isEmpty();
    }
  }

  static Stream<Arguments> lateStarts() {
    return Stream.of(
        scenario(
            "responses to heartbeats are late, machines hang, jobs are cancelled",
            88_150_742,
            cluster -> {
              cluster.maxHeartbeatDelayMs = 4_500;
              repeat(cluster, 12_000, 3_000, 40, () -> hangRandomMachine(cluster, 6_000));
              repeat(cluster, 13_000, 4_000, 25, () -> cluster.cancelRunningJobs(1, null));
            }),
        scenario(
            "controllers pause with held heartbeats, jobs are cancelled",
            -610_440_127,
            cluster -> {
              repeat(
                  cluster,
                  12_000,
                  7_000,
                  20,
                  () -> cluster.pauseController(cluster.random.nextInt(3), 6_000));
              repeat(cluster, 13_000, 4_000, 25, () -> cluster.cancelRunningJobs(1, null));
            }),
        scenario(
            "direct commands are late, machines hang, leaders change, jobs are cancelled",
            1_538_002_616,
            cluster -> {
              cluster.delayedCommandProbability = 0.5;
              repeat(cluster, 12_000, 5_000, 25, () -> hangRandomMachine(cluster, 10_000));
              repeat(cluster, 15_000, 14_000, 9, () -> crashRandomController(cluster, 4_000));
              repeat(cluster, 13_000, 4_000, 25, () -> cluster.cancelRunningJobs(1, null));
            }));
  }

  /** No task of a cancelled job starts or stays, however late a response or command arrives. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("lateStarts")
  void noStartTakesEffectAfterItsJobWasCancelled(
      String name, int seedBase, Consumer<SimulatedCluster> faults) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      run(seedBase + 31 * seed, faults);
    }
  }

  /** Runs a scenario until all jobs have ended and asserts that no invariant was violated. */
  private static SimulatedCluster run(long seed, Consumer<SimulatedCluster> faults) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.invariantChecker.faultsEndMs = FAULTS_END_MS;
    faults.accept(cluster);
    cluster.start(60, 120_000);
    cluster.time.schedule(
        FAULTS_END_MS,
        () -> {
          cluster.delayedCloudCallProbability = 0;
          cluster.delayedWriteProbability = 0;
          cluster.delayedCommandProbability = 0;
          cluster.maxHeartbeatDelayMs = 0;
        });
    cluster.time.runUntil(SCENARIO_MS);
    assertThat(cluster.invariantChecker.violations).as("violations, seed %d", seed).isEmpty();
    assertThat(cluster.unfinishedJobs()).as("unfinished jobs, seed %d", seed).isEmpty();
    return cluster;
  }
}
