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

/** Two troubles meet: days in virtual time, named after the operators' list of such meetings. */
class ConcurrentFaultsTest {
  private static final long SCENARIO_MS = 600_000;
  private static final long FAULTS_FROM_MS = 30_000;
  private static final long OUTAGE_MS = 62_000;

  /** What else happens when cancellations meet the end of the state service's answers. */
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

  /** Refused alone, and 2 s later out for all. */
  private static void refuseThenOutage(SimulatedCluster cluster, String leader) {
    cluster.stateService.refusedControllers.add(leader);
    cluster.time.schedule(14_000, () -> cluster.stateService.refusedControllers.clear());
    cluster.time.schedule(2_000, () -> stateServiceOutage(cluster, OUTAGE_MS));
  }

  static Stream<Arguments> faultSequences() {
    return Stream.of(
        faultSequence(
            "refused alone, another node confirms, then out for all",
            1_670_303_998,
            true,
            (cluster, leader) -> {
              refuseThenOutage(cluster, leader);
              cluster.time.schedule(1_000, () -> cluster.cancelRunningJobs(6, leader));
            }),
        faultSequence(
            "cancelled at the very moment at which the owner is refused, then out for all",
            985_899_756,
            true,
            (cluster, leader) -> {
              cluster.cancelRunningJobs(6, leader);
              refuseThenOutage(cluster, leader);
            }),
        faultSequence(
            "the owner knows, but its machines hang until its hold may have ended",
            975_720_275,
            true,
            (cluster, leader) -> {
              hang(cluster, cluster.cancelRunningJobs(6, leader), 8_000);
              cluster.time.schedule(500, () -> stateServiceOutage(cluster, OUTAGE_MS));
            }),
        faultSequence(
            "the confirming node is back at once within the outage",
            -400_908_559,
            false,
            (cluster, leader) -> {
              refuseThenOutage(cluster, leader);
              cluster.time.schedule(1_000, () -> cluster.cancelRunningJobs(6, leader));
              for (int n = 0; n < cluster.controllerCount; n++) {
                int controller = n;
                if (!("n" + n).equals(leader)) {
                  // Before the owner can have asked it anything.
                  cluster.time.schedule(
                      1_020, () -> blockLinks(cluster, "n" + controller, List.of(leader)));
                  cluster.time.schedule(3_000, () -> cluster.killController(controller, 300));
                  cluster.time.schedule(6_000, () -> cluster.blockedLinks.clear());
                }
              }
            }),
        faultSequence(
            "the owner hears no other node",
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
   * The state service refuses the owner of shards alone, another node confirms cancellations, then
   * it is out for all for longer than {@code cancel_s}: the tasks are gone in time, and where the
   * owner can learn which they are the others' work goes on.
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
      // Nothing may rely on direct commands: they are a quicker way, and often get lost.
      cluster.dropCommands = seed > 1;
      // Enough for all teams at their limits: what is judged here is not shortage.
      cluster.cloudCapacity = 60;
      cluster.start(30, 15_000);
      cluster.time.runUntil(FAULTS_FROM_MS);
      int expiredLeases = cluster.expiredLeasesWithTasks;
      faults.accept(cluster, cluster.leaderOf(0));
      cluster.invariantChecker.faultsEndMs = FAULTS_FROM_MS + 2_000 + OUTAGE_MS;
      cluster.time.runUntil(cluster.invariantChecker.faultsEndMs);
      if (keepsOtherTasks) {
        assertThat(cluster.expiredLeasesWithTasks)
            .as("leases, seed %d", seed)
            .isEqualTo(expiredLeases);
      }
      cluster.time.runUntil(3 * SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(cluster.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
    }
  }

  private static Arguments scenario(String name, int seedBase, Consumer<SimulatedCluster> faults) {
    return Arguments.of(name, seedBase, faults);
  }

  /** Takes some machines of a zone, without notice. */
  private static void takeMachinesOfZone(SimulatedCluster cluster, String zone, int count) {
    cluster.machines.values().stream()
        .filter(worker -> worker.zone.equals(zone))
        .limit(count)
        .toList()
        .forEach(cluster::reclaimMachine);
  }

  /** Cut from the state service and the other nodes, not from workers and users. */
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

  /** The tasks of jobs just cancelled are gone soon, by direct commands. */
  private static void assertCancelledTasksStoppedAfter(
      SimulatedCluster cluster, List<FakeWorker> machines, long delayMs) {
    cluster.time.schedule(
        delayMs,
        () ->
            assertThat(cluster.cancelledJobsWithTasks())
                .as("tasks of cancelled jobs on %d machines", machines.size())
                .isEmpty());
  }

  /** Again and again the first shard's owner of that moment ends, and is back after a while. */
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

  /** The operators' list, in its order. */
  static Stream<Arguments> concurrentFaults() {
    return Stream.of(
        scenario(
            "the state service answers slowly, then refuses the leader and then everybody",
            800_819_197,
            cluster -> {
              cluster.time.schedule(20_000, () -> cluster.maxStateServiceDelayMs = 1_500);
              repeat(cluster, 22_000, 6_000, 8, () -> cluster.cancelRunningJobs(1, null));
              cluster.time.schedule(45_000, () -> cluster.maxStateServiceDelayMs = 0);
              cluster.time.schedule(50_000, () -> refuseThenOutage(cluster, cluster.leaderOf(0)));
            }),
        scenario(
            "jobs bound to one zone, arrays too, lose machines",
            -2_034_016_510,
            cluster -> {
              repeat(cluster, 20_000, 7_000, 10, () -> takeMachinesOfZone(cluster, "b", 3));
              repeat(cluster, 23_000, 11_000, 6, () -> takeMachinesOfZone(cluster, "a", 2));
            }),
        scenario(
            "a report is held back until a new leader has acted, and then arrives there",
            1_811_502_502,
            cluster -> {
              cluster.duplicateHeartbeatProbability = 0.5;
              cluster.maxDuplicateDelayMs = 12_000;
              crashLeaderRepeatedly(cluster, 20_000, 12_000, 8, 9_000);
            }),
        scenario(
            "a team at its limit, the leader changes, machines can't be asked, jobs are cancelled",
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
            "a leader is cut from state service and nodes, jobs are cancelled through the new one",
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
            "a command or its answer is held up for seconds, and the machine then goes on",
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
            "workers can't open connections to any controller",
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
            "more work than room, urgent and not, over slow links",
            421_972_189,
            cluster -> {
              cluster.cloudCapacity = 8;
              cluster.maxHeartbeatDelayMs = 1_500;
            }),
        scenario(
            "controllers hand over and back, all end, and one returns, also within a second",
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
            "leaders change ten times in two minutes, also inside an outage",
            1_767_765_470,
            cluster -> {
              cluster.additionalRunMs = 10_000;
              crashLeaderRepeatedly(cluster, 15_000, 11_500, 10, 6_000);
              cluster.time.schedule(50_000, () -> stateServiceOutage(cluster, 30_000));
              repeat(cluster, 40_000, 9_000, 5, () -> cluster.cancelRunningJobs(1, null));
            }),
        scenario(
            "a zone with workers and a controller is cut off for longer than a lease",
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
            "an old report arrives after newer ones, also of an earlier session or attempt",
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
            "a leader ends while machines with long tasks can't be reached or don't hear the new one",
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
            "a cancellation, a question or a repetition meets the end of a job's last task",
            -75_479_856,
            cluster -> cluster.usersActAtJobEnd = true),
        scenario(
            "cancelled at the moment of the refusal, and a second later it is out for all",
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
            "jobs of two or three tasks end far apart across a change of leader",
            905_131_434,
            cluster -> {
              cluster.maxTasksPerJob = 3;
              cluster.runTimeStepMs = 40_000;
              crashLeaderRepeatedly(cluster, 25_000, 20_000, 5, 8_000);
            }),
        scenario(
            "all controllers are away for longer than a lease",
            8_108_286,
            cluster -> {
              cluster.additionalRunMs = 15_000;
              cluster.time.schedule(35_000, () -> crashControllers(cluster, 20_000, 0, 1, 2));
              cluster.time.schedule(80_000, () -> crashControllers(cluster, 30_000, 0, 1, 2));
            }),
        scenario(
            "a transaction without an answer is carried out late, after newer ones",
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
            "one-task jobs come four a second for minutes, a quarter of them cancelled",
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
            "a command of a leader that has ended or was deposed arrives after the new leader's",
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
            "jobs are cancelled in the seconds in which a shard changes hands",
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
            "all teams at their limits, cancelled jobs' machines cut off or hung, a new leader",
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
            "users look at all nodes within milliseconds, mirrors lag, nodes restart or are refused",
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
            "new machines are up within two seconds while writes lag, and the leader ends",
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
                    takeMachinesOfZone(cluster, "a", 4);
                    cluster.time.schedule(
                        1_500,
                        () ->
                            crashControllers(
                                cluster, 6_000, controllerNumber(cluster.leaderOf(0))));
                  });
              cluster.time.schedule(120_000, () -> cluster.maxStateServiceDelayMs = 0);
            }),
        scenario(
            "a transaction is carried out at once and only its answer is lost",
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
            "an old report reaches every controller just as a new leader begins",
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
      assertThat(cluster.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(cluster.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
      assertThat(cluster.stateService.countKeys("w/j/")).as("live jobs").isZero();
      assertThat(cluster.machines).as("machines").isEmpty();
    }
  }
}
