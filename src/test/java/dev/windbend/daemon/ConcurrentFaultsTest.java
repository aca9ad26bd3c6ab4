package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.blockLinks;
import static dev.windbend.daemon.FaultInjection.blockResponsesTo;
import static dev.windbend.daemon.FaultInjection.crashControllers;
import static dev.windbend.daemon.FaultInjection.randomMachine;
import static dev.windbend.daemon.FaultInjection.repeat;
import static dev.windbend.daemon.FaultInjection.stateServiceOutage;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Scenarios in virtual time with several faults at the same time, named after the operators' list
 * of such combinations.
 */
class ConcurrentFaultsTest {
  private static final long SCENARIO_MS = 600_000;
  private static final long FAULTS_FROM_MS = 30_000;
  private static final long OUTAGE_MS = 62_000;

  /** Faults that coincide with cancellations just before an outage of the state service. */
  private static Arguments faultSequence(
      String name,
      int seedBase,
      boolean keepsOtherTasks,
      BiConsumer<SimulatedCluster, String> faults) {
    return Arguments.of(name, seedBase, keepsOtherTasks, faults);
  }

  private static void hang(SimulatedCluster cluster, List<FakeWorker> machines, long durationMs) {
    machines.forEach(worker -> worker.hung = true);
    cluster.time.schedule(durationMs, () -> machines.forEach(worker -> worker.hung = false));
  }

  /**
   * The state service refuses requests of the leader only; 2 s later an outage affects all
   * controllers.
   */
  private static void refuseThenOutage(SimulatedCluster cluster, String leader) {
    cluster.stateService.refusedControllers.add(leader);
    cluster.time.schedule(14_000, () -> cluster.stateService.refusedControllers.clear());
    cluster.time.schedule(2_000, () -> stateServiceOutage(cluster, OUTAGE_MS));
  }

  static Stream<Arguments> faultSequences() {
    return Stream.of(
        faultSequence(
            "leader refused, another controller confirms cancellations, then general outage",
            1_670_303_998,
            true,
            (cluster, leader) -> {
              refuseThenOutage(cluster, leader);
              cluster.time.schedule(1_000, () -> cluster.cancelRunningJobs(6, leader));
            }),
        faultSequence(
            "jobs cancelled at the moment the leader is refused, then general outage",
            985_899_756,
            true,
            (cluster, leader) -> {
              cluster.cancelRunningJobs(6, leader);
              refuseThenOutage(cluster, leader);
            }),
        faultSequence(
            "leader knows of cancellations, machines hang until the leader lease may have expired",
            975_720_275,
            true,
            (cluster, leader) -> {
              hang(cluster, cluster.cancelRunningJobs(6, leader), 8_000);
              cluster.time.schedule(500, () -> stateServiceOutage(cluster, OUTAGE_MS));
            }),
        faultSequence(
            "the controller that confirmed cancellations restarts during the outage",
            -400_908_559,
            false,
            (cluster, leader) -> {
              refuseThenOutage(cluster, leader);
              cluster.time.schedule(1_000, () -> cluster.cancelRunningJobs(6, leader));
              for (int number = 0; number < cluster.controllerCount; number++) {
                int controller = number;
                if (!("n" + number).equals(leader)) {
                  // Blocks the link before the leader can have queried this controller.
                  cluster.time.schedule(
                      1_020, () -> blockLinks(cluster, "n" + controller, List.of(leader)));
                  cluster.time.schedule(3_000, () -> cluster.killController(controller, 300));
                  cluster.time.schedule(6_000, () -> cluster.blockedLinks.clear());
                }
              }
            }),
        faultSequence(
            "the leader cannot connect to any other controller",
            2_001_639_514,
            false,
            (cluster, leader) -> {
              for (int n = 0; n < cluster.controllerCount; n++) {
                cluster.refusedLinks.add(leader + ">n" + n);
                cluster.refusedLinks.add("n" + n + ">" + leader);
              }
              refuseThenOutage(cluster, leader);
              cluster.time.schedule(1_000, () -> cluster.cancelRunningJobs(6, leader));
              cluster.time.schedule(2_000 + OUTAGE_MS, cluster.refusedLinks::clear);
            }));
  }

  /**
   * The state service refuses only the leader, another controller confirms cancellations, and then
   * an outage of the state service lasts longer than {@code cancel_s}. The cancelled tasks must
   * stop in time. Where the leader can learn which tasks were cancelled, all other tasks must keep
   * running.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("faultSequences")
  void stopsTasksCancelledBeforeOutageInTime(
      String name,
      int seedBase,
      boolean keepsOtherTasks,
      BiConsumer<SimulatedCluster, String> faults) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed * 31 + seedBase);
      cluster.lossProbability = 0;
      cluster.delayProbability = 0;
      cluster.additionalRunMs = 150_000;
      cluster.earliestCancellationMs = SCENARIO_MS;
      // Cancellation must not depend on direct commands, which are faster but often get lost.
      cluster.dropCommands = seed > 1;
      // Enough capacity for all teams at their limits: this test does not cover shortage.
      cluster.cloudCapacity = 60;
      cluster.start(30, 15_000);
      cluster.time.runUntil(FAULTS_FROM_MS);
      int expiredLeases = cluster.expiredLeasesWithTasks;
      faults.accept(cluster, cluster.leaderOf(0));
      cluster.invariantChecker.faultsEndMs = FAULTS_FROM_MS + 2_000 + OUTAGE_MS;
      cluster.time.runUntil(cluster.invariantChecker.faultsEndMs);
      if (keepsOtherTasks) {
        assertThat(cluster.expiredLeasesWithTasks)
            .as("no machine lease expires with tasks, seed %d", seed)
            .isEqualTo(expiredLeases);
      }
      cluster.time.runUntil(3 * SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations)
          .as("no invariant is violated, seed %d", seed)
          .isEmpty();
      assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
    }
  }

  private static Arguments scenario(String name, int seedBase, Consumer<SimulatedCluster> faults) {
    return Arguments.of(name, seedBase, faults);
  }

  /** Lets the cloud reclaim up to {@code count} machines of a zone without notice. */
  private static void reclaimMachinesOfZone(SimulatedCluster cluster, String zone, int count) {
    cluster.machines.values().stream()
        .filter(worker -> worker.zone.equals(zone))
        .limit(count)
        .toList()
        .forEach(cluster::reclaimMachine);
  }

  /**
   * Isolates a controller from the state service and the other controllers, but not from workers
   * and users.
   */
  private static void isolateFromStateServiceAndPeers(
      SimulatedCluster cluster, String controller, long durationMs) {
    cluster.stateService.refusedControllers.add(controller);
    for (int n = 0; n < cluster.controllerCount; n++) {
      if (!controller.equals("n" + n)) {
        blockLinks(cluster, controller, List.of("n" + n));
      }
    }
    cluster.time.schedule(
        durationMs,
        () -> {
          cluster.stateService.refusedControllers.clear();
          cluster.blockedLinks.clear();
        });
  }

  /** Asserts that direct commands have stopped all tasks of cancelled jobs after a delay. */
  private static void assertCancelledTasksStoppedAfter(
      SimulatedCluster cluster, List<FakeWorker> machines, long delayMs) {
    cluster.time.schedule(
        delayMs,
        () ->
            assertThat(cluster.cancelledJobsWithTasks())
                .as("cancelled jobs that still have tasks, among %d machines", machines.size())
                .isEmpty());
  }

  /** Repeatedly crashes the current leader of the first shard and restarts it after a delay. */
  private static void crashLeaderRepeatedly(
      SimulatedCluster cluster, long fromMs, long intervalMs, int times, long restartDelayMs) {
    repeat(
        cluster,
        fromMs,
        intervalMs,
        times,
        () -> crashControllers(cluster, restartDelayMs, controllerNumber(cluster.leaderOf(0))));
  }

  private static int controllerNumber(String controller) {
    return controller == null ? 0 : controller.charAt(1) - '0';
  }

  /** The combinations of the operators' list, in the same order. */
  static Stream<Arguments> concurrentFaults() {
    return Stream.of(
        scenario(
            "the state service responds slowly, then refuses the leader, then all controllers",
            800_819_197,
            cluster -> {
              cluster.time.schedule(20_000, () -> cluster.maxStateServiceDelayMs = 1_500);
              repeat(cluster, 22_000, 6_000, 8, () -> cluster.cancelRunningJobs(1, null));
              cluster.time.schedule(45_000, () -> cluster.maxStateServiceDelayMs = 0);
              cluster.time.schedule(50_000, () -> refuseThenOutage(cluster, cluster.leaderOf(0)));
            }),
        scenario(
            "jobs bound to one zone, including array jobs, lose machines",
            -2_034_016_510,
            cluster -> {
              repeat(cluster, 20_000, 7_000, 10, () -> reclaimMachinesOfZone(cluster, "b", 3));
              repeat(cluster, 23_000, 11_000, 6, () -> reclaimMachinesOfZone(cluster, "a", 2));
            }),
        scenario(
            "a heartbeat is delayed until a new leader has acted, and then reaches that leader",
            1_811_502_502,
            cluster -> {
              cluster.duplicateHeartbeatProbability = 0.5;
              cluster.maxDuplicateDelayMs = 12_000;
              crashLeaderRepeatedly(cluster, 20_000, 12_000, 8, 9_000);
            }),
        scenario(
            "a team at its limit while leaders change, machines hang and jobs are cancelled",
            1_074_662_724,
            cluster -> {
              cluster.additionalRunMs = 20_000;
              repeat(
                  cluster,
                  25_000,
                  25_000,
                  4,
                  () -> {
                    for (int i = 0; i < 3; i++) {
                      FaultInjection.hangRandomMachine(cluster, 12_000);
                    }
                    crashControllers(cluster, 8_000, controllerNumber(cluster.leaderOf(0)));
                    cluster.time.schedule(3_000, () -> cluster.cancelRunningJobs(2, null));
                  });
            }),
        scenario(
            "leader cut off from state service and peers, jobs cancelled through the next leader",
            1_294_540_671,
            cluster -> {
              cluster.additionalRunMs = 40_000;
              repeat(
                  cluster,
                  25_000,
                  50_000,
                  2,
                  () -> {
                    String leader = cluster.leaderOf(0);
                    isolateFromStateServiceAndPeers(cluster, leader, 40_000);
                    repeat(cluster, 1_000, 4_000, 4, () -> cluster.cancelRunningJobs(2, leader));
                  });
            }),
        scenario(
            "a command or its response is delayed for seconds, and then the machine resumes",
            -1_703_062_844,
            cluster -> {
              cluster.maxHeartbeatDelayMs = 4_500;
              repeat(
                  cluster,
                  20_000,
                  6_000,
                  12,
                  () -> FaultInjection.hangRandomMachine(cluster, 5_000));
              repeat(cluster, 25_000, 9_000, 6, () -> cluster.cancelRunningJobs(1, null));
            }),
        scenario(
            "workers cannot open connections to any controller",
            -1_326_698_942,
            cluster -> {
              cluster.additionalRunMs = 20_000;
              repeat(
                  cluster,
                  25_000,
                  35_000,
                  3,
                  () -> {
                    cluster.machinesWithBlockedRequests.addAll(cluster.machines.keySet());
                    cluster.time.schedule(9_000, cluster.machinesWithBlockedRequests::clear);
                  });
              cluster.time.schedule(
                  62_000,
                  () ->
                      assertCancelledTasksStoppedAfter(
                          cluster, cluster.cancelRunningJobs(4, null), 2_000));
            }),
        scenario(
            "more urgent and standard work than capacity, over slow links",
            421_972_189,
            cluster -> {
              cluster.cloudCapacity = 8;
              cluster.maxHeartbeatDelayMs = 1_500;
            }),
        scenario(
            "leadership moves back and forth, all controllers crash, one restarts within 1 s",
            660_085_499,
            cluster -> {
              crashLeaderRepeatedly(cluster, 20_000, 8_000, 4, 5_000);
              cluster.time.schedule(
                  60_000,
                  () -> {
                    crashControllers(cluster, 400, 0);
                    crashControllers(cluster, 20_000, 1, 2);
                  });
              cluster.time.schedule(95_000, () -> crashControllers(cluster, 300, 0, 1, 2));
              cluster.time.schedule(95_900, () -> crashControllers(cluster, 200, 1));
            }),
        scenario(
            "ten leader changes within two minutes, also during an outage",
            1_767_765_470,
            cluster -> {
              cluster.additionalRunMs = 10_000;
              crashLeaderRepeatedly(cluster, 15_000, 11_500, 10, 6_000);
              cluster.time.schedule(50_000, () -> stateServiceOutage(cluster, 30_000));
              repeat(cluster, 40_000, 9_000, 5, () -> cluster.cancelRunningJobs(1, null));
            }),
        scenario(
            "a zone with workers and a controller is isolated for longer than a lease",
            1_673_882_115,
            cluster -> {
              cluster.additionalRunMs = 20_000;
              cluster.time.schedule(
                  30_000,
                  () -> {
                    List<String> isolated = new ArrayList<>(List.of("n1"));
                    List<String> others = new ArrayList<>(List.of("n0", "n2", "state", "users"));
                    cluster
                        .machines
                        .values()
                        .forEach(
                            worker ->
                                (worker.zone.equals("b") ? isolated : others).add(worker.name));
                    isolated.forEach(name -> blockLinks(cluster, name, others));
                    cluster.stateService.refusedControllers.add("n1");
                  });
              repeat(cluster, 32_000, 5_000, 4, () -> cluster.cancelRunningJobs(1, "n1"));
              cluster.time.schedule(
                  65_000,
                  () -> {
                    cluster.blockedLinks.clear();
                    cluster.stateService.refusedControllers.clear();
                  });
            }),
        scenario(
            "an old heartbeat, also of an earlier session or attempt, arrives after newer ones",
            611_181_345,
            cluster -> {
              cluster.duplicateHeartbeatProbability = 0.5;
              cluster.maxDuplicateDelayMs = 60_000;
              repeat(
                  cluster,
                  20_000,
                  10_000,
                  8,
                  () -> FaultInjection.hangRandomMachine(cluster, 20_000));
              repeat(
                  cluster,
                  24_000,
                  16_000,
                  5,
                  () -> crashControllers(cluster, 300, cluster.random.nextInt(3)));
            }),
        scenario(
            "a leader crashes while machines with long tasks hang or receive no responses",
            -598_686_661,
            cluster -> {
              cluster.additionalRunMs = 30_000;
              repeat(
                  cluster,
                  30_000,
                  30_000,
                  3,
                  () -> {
                    FaultInjection.hangRandomMachine(cluster, 13_000);
                    FaultInjection.hangRandomMachine(cluster, 13_000);
                    FakeWorker unresponsive = randomMachine(cluster);
                    crashControllers(cluster, 12_000, controllerNumber(cluster.leaderOf(0)));
                    cluster.time.schedule(1_000, () -> blockResponsesTo(cluster, unresponsive));
                    cluster.time.schedule(12_000, cluster.blockedLinks::clear);
                  });
            }),
        scenario(
            "a cancellation, a query or a repeated submission arrives as the last task ends",
            -75_479_856,
            cluster -> cluster.usersActAtJobEnd = true),
        scenario(
            "jobs are cancelled as the leader is refused, one second before a general outage",
            -1_558_311_254,
            cluster -> {
              cluster.additionalRunMs = 60_000;
              cluster.cloudCapacity = 60;
              cluster.time.schedule(
                  40_000,
                  () -> {
                    String leader = cluster.leaderOf(0);
                    cluster.cancelRunningJobs(5, leader);
                    cluster.stateService.refusedControllers.add(leader);
                    cluster.time.schedule(1_000, () -> stateServiceOutage(cluster, 45_000));
                    cluster.time.schedule(
                        14_000, () -> cluster.stateService.refusedControllers.clear());
                  });
            }),
        scenario(
            "tasks of jobs of up to three tasks end far apart, across a leader change",
            905_131_434,
            cluster -> {
              cluster.maxTasksPerJob = 3;
              cluster.runTimeStepMs = 40_000;
              crashLeaderRepeatedly(cluster, 25_000, 20_000, 5, 8_000);
            }),
        scenario(
            "all controllers are down for longer than a lease",
            8_108_286,
            cluster -> {
              cluster.additionalRunMs = 15_000;
              cluster.time.schedule(35_000, () -> crashControllers(cluster, 20_000, 0, 1, 2));
              cluster.time.schedule(80_000, () -> crashControllers(cluster, 30_000, 0, 1, 2));
            }),
        scenario(
            "a transaction without a response is executed late, after newer transactions",
            -1_047_322_060,
            cluster -> {
              cluster.delayedWriteProbability = 0.1;
              repeat(
                  cluster,
                  20_000,
                  15_000,
                  5,
                  () -> crashControllers(cluster, 2_500, cluster.random.nextInt(3)));
              repeat(cluster, 24_000, 9_000, 6, () -> cluster.cancelRunningJobs(1, null));
              cluster.time.schedule(110_000, () -> cluster.delayedWriteProbability = 0);
            }),
        scenario(
            "four one-task jobs per second for two minutes, a quarter of them cancelled",
            -1_505_989_216,
            cluster -> {
              cluster.cloudCapacity = 45;
              for (int job = 0; job < 480; job++) {
                SimulatedUser user =
                    new SimulatedUser(cluster, 1_000 + job, 1, null, true, job % 4 == 3);
                cluster.time.schedule(10_000 + 250L * job, user::submit);
              }
              repeat(
                  cluster,
                  30_000,
                  30_000,
                  3,
                  () -> crashControllers(cluster, 3_000, cluster.random.nextInt(3)));
            }),
        scenario(
            "a command of a crashed or deposed leader arrives after the next leader's commands",
            -1_810_020_084,
            cluster -> {
              cluster.additionalRunMs = 20_000;
              cluster.delayedCommandProbability = 1;
              repeat(
                  cluster,
                  25_000,
                  17_000,
                  6,
                  () -> {
                    cluster.cancelRunningJobs(2, null);
                    crashControllers(cluster, 9_000, controllerNumber(cluster.leaderOf(0)));
                    cluster.time.schedule(6_000, () -> cluster.cancelRunningJobs(1, null));
                  });
            }),
        scenario(
            "jobs are cancelled while the leader of a shard changes",
            -1_140_270_066,
            cluster -> {
              cluster.additionalRunMs = 15_000;
              repeat(
                  cluster,
                  20_000,
                  20_000,
                  5,
                  () -> {
                    crashControllers(cluster, 9_000, controllerNumber(cluster.leaderOf(0)));
                    repeat(cluster, 1, 600, 12, () -> cluster.cancelRunningJobs(1, null));
                  });
            }),
        scenario(
            "teams at their limits, machines of cancelled jobs isolated or hung, leader changes",
            1_456_254_512,
            cluster -> {
              cluster.additionalRunMs = 40_000;
              cluster.cloudCapacity = 60;
              repeat(
                  cluster,
                  30_000,
                  35_000,
                  3,
                  () -> {
                    List<FakeWorker> machines = cluster.cancelRunningJobs(3, null);
                    hang(cluster, machines.subList(0, machines.size() / 2), 12_000);
                    machines
                        .subList(machines.size() / 2, machines.size())
                        .forEach(
                            worker -> blockLinks(cluster, worker.name, List.of("n0", "n1", "n2")));
                    crashControllers(
                        cluster,
                        8_000,
                        controllerNumber(cluster.leaderOf(0)),
                        controllerNumber(cluster.leaderOf(1)));
                    cluster.time.schedule(10_000, cluster.blockedLinks::clear);
                  });
            }),
        scenario(
            "users query all controllers at once, replicas lag, controllers restart or are refused",
            -1_838_197_352,
            cluster -> {
              cluster.usersQueryAllControllers = true;
              cluster.usersActAtJobEnd = true;
              cluster.maxStateServiceDelayMs = 400;
              repeat(cluster, 15_000, 7_000, 12, () -> cluster.cancelRunningJobs(1, null));
              repeat(
                  cluster,
                  20_000,
                  13_000,
                  6,
                  () -> crashControllers(cluster, 300, cluster.random.nextInt(3)));
              repeat(
                  cluster,
                  25_000,
                  20_000,
                  4,
                  () ->
                      cluster.stateService.refusedControllers.add("n" + cluster.random.nextInt(3)));
              repeat(
                  cluster,
                  33_000,
                  20_000,
                  4,
                  () -> cluster.stateService.refusedControllers.clear());
            }),
        scenario(
            "machines start within two seconds while writes are slow and the leader crashes",
            -102_219_639,
            cluster -> {
              cluster.minBootMs = 200;
              cluster.bootJitterMs = 1_500;
              cluster.maxStateServiceDelayMs = 1_500;
              cluster.time.schedule(
                  5_500,
                  () -> crashControllers(cluster, 6_000, controllerNumber(cluster.leaderOf(0))));
              repeat(
                  cluster,
                  20_000,
                  15_000,
                  6,
                  () -> {
                    reclaimMachinesOfZone(cluster, "a", 4);
                    cluster.time.schedule(
                        1_500,
                        () ->
                            crashControllers(
                                cluster, 6_000, controllerNumber(cluster.leaderOf(0))));
                  });
              cluster.time.schedule(120_000, () -> cluster.maxStateServiceDelayMs = 0);
            }),
        scenario(
            "a transaction is executed at once and only its response is lost",
            -1_208_034_964,
            cluster -> {
              cluster.lostWriteResponseProbability = 0.15;
              cluster.usersQueryAllControllers = true;
              cluster.usersActAtJobEnd = true;
              repeat(
                  cluster,
                  20_000,
                  15_000,
                  5,
                  () -> crashControllers(cluster, 2_500, cluster.random.nextInt(3)));
              repeat(cluster, 24_000, 9_000, 6, () -> cluster.cancelRunningJobs(1, null));
              cluster.time.schedule(110_000, () -> cluster.lostWriteResponseProbability = 0);
            }),
        scenario(
            "an old heartbeat reaches every controller as a new leader recovers",
            -1_497_568_344,
            cluster -> {
              cluster.additionalRunMs = 10_000;
              repeat(
                  cluster,
                  20_000,
                  20_000,
                  5,
                  () -> {
                    Map<String, byte[]> oldHeartbeats = cluster.copyLatestHeartbeats();
                    cluster.time.schedule(
                        4_000,
                        () ->
                            crashControllers(
                                cluster, 9_000, controllerNumber(cluster.leaderOf(0))));
                    repeat(
                        cluster, 7_000, 250, 16, () -> cluster.redeliverHeartbeats(oldHeartbeats));
                  });
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("concurrentFaults")
  void preservesInvariantsAndCompletesAllJobs(
      String name, int seedBase, Consumer<SimulatedCluster> faults) {
    for (long seed = 1; seed <= 4; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed * 104_729 + seedBase);
      cluster.invariantChecker.faultsEndMs = 150_000;
      faults.accept(cluster);
      cluster.start(30, 90_000);
      cluster.time.runUntil(2 * SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations)
          .as("no invariant is violated, seed %d", seed)
          .isEmpty();
      assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
      assertThat(cluster.stateService.countKeys("w/j/")).as("remaining job records").isZero();
      assertThat(cluster.machines).as("remaining machines").isEmpty();
    }
  }
}
