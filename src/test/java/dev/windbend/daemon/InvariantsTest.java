package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.blockLinks;
import static dev.windbend.daemon.FaultInjection.blockResponsesTo;
import static dev.windbend.daemon.FaultInjection.crashControllers;
import static dev.windbend.daemon.FaultInjection.hangRandomMachine;
import static dev.windbend.daemon.FaultInjection.randomMachine;
import static dev.windbend.daemon.FaultInjection.repeat;
import static dev.windbend.daemon.FaultInjection.stateServiceOutage;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Scenarios in virtual time for each kind of fault: all invariants hold, and all jobs finish. */
class InvariantsTest {
  private static final long SCENARIO_MS = 600_000;

  private static Arguments scenario(String name, int seedBase, Consumer<SimulatedCluster> faults) {
    return Arguments.of(name, seedBase, faults);
  }

  static Stream<Arguments> scenarios() {
    return Stream.of(
        scenario("quiet", 107_947_572, cluster -> {}),
        scenario(
            "one controller crashes",
            1_507_492_337,
            cluster -> cluster.time.schedule(20_000, () -> crashControllers(cluster, 4_000, 1))),
        scenario(
            "all controllers crash at once",
            -1_162_489_194,
            cluster ->
                cluster.time.schedule(30_000, () -> crashControllers(cluster, 3_000, 0, 1, 2))),
        scenario(
            "all controllers restart one after the other",
            -1_011_891_365,
            cluster -> {
              for (int i = 0; i < 3; i++) {
                int controller = i;
                cluster.time.schedule(
                    20_000 + 15_000 * i, () -> crashControllers(cluster, 2_500, controller));
              }
            }),
        scenario(
            "controllers crash repeatedly and restart within 300 ms",
            -1_277_928_646,
            cluster ->
                repeat(
                    cluster,
                    15_000,
                    9_000,
                    8,
                    () -> crashControllers(cluster, 300, cluster.random.nextInt(3)))),
        scenario(
            "a controller is down for longer than its lease in the state service",
            -748_645_775,
            cluster ->
                repeat(
                    cluster,
                    15_000,
                    30_000,
                    3,
                    () -> crashControllers(cluster, 20_000, cluster.random.nextInt(3)))),
        scenario(
            "the state service is unavailable",
            -1_173_977_233,
            cluster -> cluster.time.schedule(25_000, () -> stateServiceOutage(cluster, 25_000))),
        scenario(
            "failover during an outage of the state service",
            1_890_661_602,
            cluster -> {
              cluster.time.schedule(25_000, () -> stateServiceOutage(cluster, 20_000));
              cluster.time.schedule(30_000, () -> crashControllers(cluster, 3_000, 0, 1));
            }),
        scenario(
            "the state service refuses one controller",
            1_227_051_567,
            cluster -> {
              cluster.time.schedule(
                  20_000, () -> cluster.stateService.refusedControllers.add("n1"));
              cluster.time.schedule(60_000, () -> cluster.stateService.refusedControllers.clear());
            }),
        scenario(
            "machines hang for almost as long as their lease lasts, and for longer",
            1_538_199_774,
            cluster -> {
              repeat(cluster, 15_000, 11_000, 8, () -> hangRandomMachine(cluster, 13_500));
              repeat(cluster, 19_000, 13_000, 6, () -> hangRandomMachine(cluster, 40_000));
            }),
        scenario(
            "the cloud reclaims machines without notice",
            222_921_865,
            cluster ->
                repeat(
                    cluster,
                    15_000,
                    4_000,
                    20,
                    () -> {
                      FakeWorker worker = randomMachine(cluster);
                      if (worker != null) {
                        cluster.reclaimMachine(worker);
                      }
                    })),
        scenario(
            "the cloud reclaims machines with notice",
            1_782_215_353,
            cluster ->
                repeat(
                    cluster,
                    15_000,
                    6_000,
                    12,
                    () -> {
                      FakeWorker worker = randomMachine(cluster);
                      if (worker != null) {
                        worker.reclaimInSeconds = 10.0;
                        cluster.time.schedule(10_000, () -> cluster.reclaimMachine(worker));
                      }
                    })),
        scenario(
            "machines fail every task",
            252_728_984,
            cluster ->
                repeat(
                    cluster,
                    15_000,
                    20_000,
                    3,
                    () -> {
                      FakeWorker worker = randomMachine(cluster);
                      if (worker != null) {
                        worker.failsAllTasks = true;
                      }
                    })),
        scenario(
            "machines start that no controller has requested",
            -1_299_966_048,
            cluster -> {
              cluster.bootMachine("a", false);
              repeat(cluster, 20_000, 20_000, 3, () -> cluster.bootMachine("b", true));
            }),
        scenario(
            "two controllers cannot reach each other, and machines cannot reach one of them",
            305_137_649,
            cluster -> {
              cluster.time.schedule(
                  20_000,
                  () -> {
                    cluster.blockedLinks.addAll(List.of("n0>n1", "n1>n0"));
                    cluster
                        .machines
                        .keySet()
                        .forEach(worker -> cluster.blockedLinks.add(worker + ">n1"));
                  });
              cluster.time.schedule(50_000, cluster.blockedLinks::clear);
            }),
        scenario(
            "messages are lost or delayed",
            -773_913_123,
            cluster -> {
              cluster.lossProbability = 0.03;
              cluster.delayProbability = 0.03;
            }),
        scenario(
            "messages are lost or delayed while controllers crash and machines hang",
            -1_713_428_559,
            cluster -> {
              cluster.lossProbability = 0.02;
              cluster.delayProbability = 0.02;
              repeat(
                  cluster,
                  15_000,
                  14_000,
                  6,
                  () -> crashControllers(cluster, 3_000, cluster.random.nextInt(3)));
              repeat(cluster, 17_000, 11_000, 6, () -> hangRandomMachine(cluster, 20_000));
              cluster.time.schedule(40_000, () -> stateServiceOutage(cluster, 15_000));
            }),
        scenario(
            "machines send heartbeats but receive no responses",
            -911_363_435,
            cluster ->
                repeat(
                    cluster,
                    20_000,
                    9_000,
                    6,
                    () -> blockResponsesTo(cluster, randomMachine(cluster)))),
        scenario(
            "delayed copies of heartbeats arrive",
            1_089_740_357,
            cluster -> cluster.duplicateHeartbeatProbability = 0.3),
        scenario(
            "delayed heartbeat copies, controllers crash, machines leave and rejoin other shards",
            871_582_134,
            cluster -> {
              cluster.duplicateHeartbeatProbability = 0.3;
              repeat(
                  cluster,
                  15_000,
                  17_000,
                  5,
                  () -> crashControllers(cluster, 3_000, cluster.random.nextInt(3)));
              repeat(
                  cluster, 18_000, 8_000, 10, () -> cluster.reclaimMachine(randomMachine(cluster)));
              repeat(cluster, 21_000, 15_000, 5, () -> hangRandomMachine(cluster, 20_000));
            }),
        scenario(
            "a controller reaches its workers but neither the state service nor its peers",
            -768_445_434,
            cluster -> {
              cluster.time.schedule(
                  25_000,
                  () -> {
                    cluster.stateService.refusedControllers.add("n1");
                    blockLinks(cluster, "n1", List.of("n0", "n2"));
                  });
              cluster.time.schedule(
                  85_000,
                  () -> {
                    cluster.stateService.refusedControllers.clear();
                    cluster.blockedLinks.clear();
                  });
            }),
        scenario(
            "a controller cannot reach its workers",
            1_684_369_254,
            cluster -> {
              cluster.time.schedule(
                  25_000, () -> blockLinks(cluster, "n1", cluster.machines.keySet()));
              cluster.time.schedule(70_000, cluster.blockedLinks::clear);
            }),
        scenario(
            "a controller can be reached by users only",
            955_864_283,
            cluster -> {
              cluster.time.schedule(
                  25_000,
                  () -> {
                    cluster.stateService.refusedControllers.add("n2");
                    blockLinks(cluster, "n2", List.of("n0", "n1", "cloud"));
                    blockLinks(cluster, "n2", cluster.machines.keySet());
                  });
              cluster.time.schedule(
                  70_000,
                  () -> {
                    cluster.stateService.refusedControllers.clear();
                    cluster.blockedLinks.clear();
                  });
            }),
        scenario(
            "controllers refuse each other's connections, also during an outage",
            -1_558_155_905,
            cluster -> {
              cluster.time.schedule(
                  20_000,
                  () -> {
                    for (int from = 0; from < 3; from++) {
                      for (int to = 0; to < 3; to++) {
                        cluster.refusedLinks.add("n" + from + ">n" + to);
                      }
                    }
                  });
              cluster.time.schedule(30_000, () -> stateServiceOutage(cluster, 12_000));
              cluster.time.schedule(70_000, cluster.refusedLinks::clear);
            }),
        scenario(
            "a controller is slow",
            -1_553_804_168,
            cluster -> {
              cluster.time.schedule(20_000, () -> cluster.eventDelayMs[0] = 250);
              cluster.time.schedule(60_000, () -> cluster.eventDelayMs[0] = 0);
            }),
        scenario(
            "all controllers are slow",
            -27_709_125,
            cluster -> {
              cluster.time.schedule(20_000, () -> Arrays.fill(cluster.eventDelayMs, 250));
              cluster.time.schedule(80_000, () -> Arrays.fill(cluster.eventDelayMs, 0));
            }),
        scenario(
            "controllers are slow during failover",
            -931_046_021,
            cluster ->
                repeat(
                    cluster,
                    20_000,
                    30_000,
                    3,
                    () -> {
                      Arrays.fill(cluster.eventDelayMs, 500);
                      crashControllers(cluster, 9_000, cluster.random.nextInt(3));
                      cluster.time.schedule(20_000, () -> Arrays.fill(cluster.eventDelayMs, 0));
                    })),
        scenario(
            "controllers pause for longer than a lease while their clocks advance",
            -994_921_915,
            cluster -> {
              repeat(
                  cluster,
                  20_000,
                  25_000,
                  4,
                  () -> cluster.pauseController(cluster.random.nextInt(3), 36_000));
              repeat(
                  cluster, 18_000, 9_000, 10, () -> cluster.reclaimMachine(randomMachine(cluster)));
            }),
        scenario(
            "controllers crash and restart within 150 ms during an election",
            -606_780_024,
            cluster ->
                repeat(
                    cluster,
                    15_000,
                    11_000,
                    6,
                    () -> {
                      crashControllers(cluster, 20_000, 0);
                      for (int i = 0; i < 8; i++) {
                        cluster.time.schedule(
                            3_500 + 400 * i,
                            () -> crashControllers(cluster, 150, 1 + cluster.random.nextInt(2)));
                      }
                    })),
        scenario(
            "delayed heartbeat copies while capacity is short throughout the scenario",
            -1_603_199_573,
            cluster -> {
              cluster.duplicateHeartbeatProbability = 0.2;
              cluster.cloudCapacity = 4;
            }),
        scenario(
            "the state service discards old changes",
            1_617_094_870,
            cluster -> repeat(cluster, 10_000, 10_000, 10, cluster.stateService::compactChanges)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void preservesInvariantsAndCompletesAllJobs(
      String name, int seedBase, Consumer<SimulatedCluster> faults) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed * 7_919 + seedBase);
      cluster.start(30, 90_000);
      cluster.invariantChecker.faultsEndMs = 130_000;
      faults.accept(cluster);
      cluster.time.runUntil(SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations)
          .as("no invariant is violated, seed %d", seed)
          .isEmpty();
      assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
      assertThat(cluster.stateService.largestValueBytes)
          .as("bytes of the largest stored value")
          .isLessThan(4096);
      // Once all jobs have ended, no job record and no machine that no leader manages may remain.
      assertThat(cluster.stateService.countKeys("w/j/")).as("remaining job records").isZero();
      assertThat(cluster.machines).as("remaining machines").isEmpty();
    }
  }

  /**
   * Controllers that are isolated together still reach each other. They must not mistake the
   * partition for a general outage for so long that a job cancelled on the other side keeps
   * running. During a general outage, tasks must keep running.
   */
  @ParameterizedTest(name = "{0} of 5 controllers isolated for {1} ms")
  @CsvSource({"1,10000", "1,100000", "2,10000", "2,100000", "4,100000", "5,25000", "5,60000"})
  void stopsCancelledTasksInPartitionButKeepsTasksInGeneralOutage(
      int isolatedControllers, long durationMs) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 5);
      cluster.additionalRunMs = 150_000;
      cluster.earliestCancellationMs = 25_000;
      // Enough capacity for all teams at their limits: this test does not cover shortage.
      cluster.cloudCapacity = 60;
      cluster.lossProbability = 0;
      cluster.delayProbability = 0;
      cluster.start(30, 15_000);
      int[] expiredLeases = new int[1];
      cluster.time.schedule(
          24_000,
          () -> {
            expiredLeases[0] = cluster.expiredLeasesWithTasks;
            List<String> isolated = new ArrayList<>();
            List<String> others = new ArrayList<>(List.of("users"));
            cluster
                .machines
                .values()
                .forEach(worker -> (worker.zone.equals("b") ? isolated : others).add(worker.name));
            for (int controller = 0; controller < 5; controller++) {
              (controller < isolatedControllers ? isolated : others).add("n" + controller);
            }
            if (isolatedControllers < 5) {
              others.addAll(List.of("cloud", "state"));
              isolated.forEach(name -> blockLinks(cluster, name, others));
              // Otherwise the other controllers would scale in the machines and end their tasks.
              blockLinks(cluster, "cloud", others);
            } else {
              cluster.stateService.outage = true;
            }
          });
      cluster.time.schedule(
          24_000 + durationMs,
          () -> {
            assertThat(isolatedControllers == 5 ? cluster.expiredLeasesWithTasks : 0)
                .as("no machine lease expires with tasks during a general outage")
                .isEqualTo(isolatedControllers == 5 ? expiredLeases[0] : 0);
            cluster.stateService.endOutage();
            cluster.blockedLinks.clear();
          });
      cluster.invariantChecker.faultsEndMs = 24_000 + durationMs;
      cluster.time.runUntil(2 * SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations)
          .as("no invariant is violated, seed %d", seed)
          .isEmpty();
      assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
    }
  }

  /**
   * A controller that its workers cannot reach must pass the leadership of its shard to one that
   * the workers can reach, before machine leases expire.
   */
  @Test
  void movesLeadershipToControllerThatWorkersReach() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed, 5);
      cluster.lossProbability = 0;
      cluster.delayProbability = 0;
      cluster.additionalRunMs = 60_000;
      cluster.start(30, 15_000);
      cluster.time.runUntil(30_000);
      int expiredLeases = cluster.expiredLeasesWithTasks;
      for (int machine = 0; machine < 300; machine++) {
        cluster.blockedLinks.add("host-%06d>n1".formatted(machine));
        cluster.blockedLinks.add("n1>host-%06d".formatted(machine));
      }
      cluster.time.runUntil(75_000);
      assertThat(cluster.expiredLeasesWithTasks)
          .as("no machine lease expires with tasks, seed %d", seed)
          .isEqualTo(expiredLeases);
      cluster.blockedLinks.clear();
      cluster.time.runUntil(SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations)
          .as("no invariant is violated, seed %d", seed)
          .isEmpty();
      assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
    }
  }

  /** Jobs that fail on every machine until they are cancelled must not quarantine any machine. */
  @Test
  void quarantinesNoMachineForFailingJobs() {
    for (long seed = 1; seed <= 6; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed);
      // A machine that misses two heartbeat responses in a row is correctly scaled in as silent.
      cluster.lossProbability = 0;
      cluster.delayProbability = 0;
      cluster.cloudCapacity = 12;
      cluster.taskRunTimeMs = task -> 200_000;
      cluster.start(0, 1);
      for (int job = 0; job < 6; job++) {
        SimulatedUser user = new SimulatedUser(cluster, job, 4, null, false, false);
        cluster.time.schedule(3_000, user::submit);
      }
      List<SimulatedUser> usersOfFailingJobs = new ArrayList<>();
      for (int job = 6; job < 18; job++) {
        SimulatedUser user = new SimulatedUser(cluster, job, 5, null, false, false);
        user.tasksAlwaysFail = true;
        usersOfFailingJobs.add(user);
        cluster.time.schedule(30_000 + 1_500 * job, user::submit);
      }
      cluster.time.schedule(80_000, () -> crashControllers(cluster, 8_000, 0, 1, 2));
      cluster.time.runUntil(25_000);
      int scaledInBefore = cluster.scaledInMachines;
      cluster.time.runUntil(150_000);
      assertThat(cluster.scaledInMachines)
          .as("no machine is scaled in because of failing jobs, seed %d", seed)
          .isEqualTo(scaledInBefore);
      usersOfFailingJobs.forEach(user -> user.cancelsJob = true);
      usersOfFailingJobs.forEach(SimulatedUser::cancel);
      cluster.time.runUntil(SCENARIO_MS);
      assertThat(cluster.invariantChecker.violations)
          .as("no invariant is violated, seed %d", seed)
          .isEmpty();
      assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
    }
  }

  /**
   * The guest team has neither a guarantee nor a limit: its jobs finish, and they do not starve the
   * jobs of other teams.
   */
  @Test
  void completesGuestJobsWithoutStarvingTeams() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed);
      cluster.cloudCapacity = 12;
      cluster.start(0, 1);
      SimulatedUser arrayUser = new SimulatedUser(cluster, 1_000, "guests", 300, null, true, false);
      cluster.time.schedule(3_000, arrayUser::submit);
      for (int job = 0; job < 60; job++) {
        SimulatedUser guestUser =
            new SimulatedUser(cluster, 2_000 + job, "guests", 1, null, true, false);
        cluster.time.schedule(5_000 + 200 * job, guestUser::submit);
      }
      List<SimulatedUser> teamUsers = new ArrayList<>();
      for (int job = 0; job < 30; job++) {
        SimulatedUser user = new SimulatedUser(cluster, job, 1 + job % 4, null, true, false);
        teamUsers.add(user);
        cluster.time.schedule(20_000 + 3_000 * job, user::submit);
      }
      cluster.time.runUntil(1_200_000);
      assertThat(cluster.invariantChecker.violations)
          .as("no invariant is violated, seed %d", seed)
          .isEmpty();
      assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
      for (SimulatedUser user : teamUsers) {
        assertThat(user.firstTaskStartedMs - user.firstSubmittedMs)
            .as("wait in ms until job %s of team %s starts", user.jobId, user.team)
            .isLessThan(60_000);
      }
    }
  }

  /**
   * For minutes there is three times more work than the machines can run: no team, job size or
   * class starves.
   */
  @Test
  void startsEveryJobWithinFourMinutesWhenCapacityIsShort() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed);
      cluster.cloudCapacity = 4;
      cluster.start(0, 1);
      for (int job = 0; job < 60; job++) {
        SimulatedUser user =
            new SimulatedUser(cluster, job, job % 10 == 0 ? 40 : 1 + job % 7, null, true, false);
        cluster.time.schedule(3_000 + 2_500 * job, user::submit);
      }
      cluster.time.runUntil(1_200_000);
      assertThat(cluster.invariantChecker.violations).isEmpty();
      assertThat(cluster.unfinishedJobs()).isEmpty();
      for (SimulatedUser user : cluster.users.values()) {
        assertThat(user.firstTaskStartedMs - user.firstSubmittedMs)
            .as(
                "wait in ms until job %s of team %s with %d tasks starts, seed %d",
                user.jobId, user.team, user.taskCount, seed)
            .isLessThan(240_000);
      }
    }
  }

  /**
   * The cloud has no more machines. Each machine of one shard runs a long task and has free
   * capacity beside it, and a job of another shard, within its team's limit, must be placed there.
   */
  @Test
  void placesWaitingJobOnFreeCapacityOfAnotherShard() {
    SimulatedCluster cluster = new SimulatedCluster(1);
    cluster.cloudCapacity = 4;
    cluster.lossProbability = 0;
    cluster.delayProbability = 0;
    cluster.taskRunTimeMs =
        task ->
            task.startsWith("wk-000000") && SimulatedCluster.taskIndex(task) % 4 == 0
                ? 300_000
                : 5_000;
    cluster.invariantChecker.faultsEndMs = 0;
    cluster.start(0, 1);
    SimulatedUser busyUser = new SimulatedUser(cluster, 0, 16, null, true, false);
    SimulatedUser waitingUser = new SimulatedUser(cluster, 1, 1, null, true, false);
    cluster.time.schedule(5_000, busyUser::submit);
    cluster.time.schedule(60_000, waitingUser::submit);
    cluster.time.runUntil(SCENARIO_MS);
    assertThat(cluster.unfinishedJobs()).isEmpty();
    assertThat(cluster.invariantChecker.violations).isEmpty();
  }

  @Test
  void repeatsResultForSameSeed() {
    long[] results = new long[2];
    for (int i = 0; i < 2; i++) {
      SimulatedCluster cluster = new SimulatedCluster(4);
      cluster.start(10, 20_000);
      cluster.time.runUntil(60_000);
      results[i] = cluster.stateService.countKeys("") * 1_000L + cluster.random.nextInt(1_000);
    }
    assertThat(results[0]).isEqualTo(results[1]);
  }
}
