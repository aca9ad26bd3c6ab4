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

/** Whole days in virtual time under each kind of trouble: no rule breaks, and all work ends. */
class InvariantsTest {
  private static final long DAY_MS = 600_000;

  private static Arguments day(String name, int seedBase, Consumer<SimulatedCluster> troubles) {
    return Arguments.of(name, seedBase, troubles);
  }

  static Stream<Arguments> days() {
    return Stream.of(
        day("quiet", 107_947_572, w -> {}),
        day(
            "one node crashes",
            1_507_492_337,
            w -> w.time.schedule(20_000, () -> crashControllers(w, 4_000, 1))),
        day(
            "all crash at once",
            -1_162_489_194,
            w -> w.time.schedule(30_000, () -> crashControllers(w, 3_000, 0, 1, 2))),
        day(
            "all are restarted in turn",
            -1_011_891_365,
            w -> {
              for (int i = 0; i < 3; i++) {
                int n = i;
                w.time.schedule(20_000 + 15_000 * i, () -> crashControllers(w, 2_500, n));
              }
            }),
        day(
            "a node comes back within a fraction of a second, again and again",
            -1_277_928_646,
            w -> repeat(w, 15_000, 9_000, 8, () -> crashControllers(w, 300, w.random.nextInt(3)))),
        day(
            "a node is away for longer than its hold",
            -748_645_775,
            w ->
                repeat(
                    w, 15_000, 30_000, 3, () -> crashControllers(w, 20_000, w.random.nextInt(3)))),
        day(
            "the state service is down",
            -1_173_977_233,
            w -> w.time.schedule(25_000, () -> stateServiceOutage(w, 25_000))),
        day(
            "a takeover in the middle of an outage",
            1_890_661_602,
            w -> {
              w.time.schedule(25_000, () -> stateServiceOutage(w, 20_000));
              w.time.schedule(30_000, () -> crashControllers(w, 3_000, 0, 1));
            }),
        day(
            "one node alone is not served",
            1_227_051_567,
            w -> {
              w.time.schedule(20_000, () -> w.stateService.refusedControllers.add("n1"));
              w.time.schedule(60_000, () -> w.stateService.refusedControllers.clear());
            }),
        day(
            "machines hang up to their lease and beyond",
            1_538_199_774,
            w -> {
              repeat(w, 15_000, 11_000, 8, () -> hangRandomMachine(w, 13_500));
              repeat(w, 19_000, 13_000, 6, () -> hangRandomMachine(w, 40_000));
            }),
        day(
            "machines are taken without notice",
            222_921_865,
            w ->
                repeat(
                    w,
                    15_000,
                    4_000,
                    20,
                    () -> {
                      FakeWorker m = randomMachine(w);
                      if (m != null) {
                        w.reclaimMachine(m);
                      }
                    })),
        day(
            "machines are taken with notice",
            1_782_215_353,
            w ->
                repeat(
                    w,
                    15_000,
                    6_000,
                    12,
                    () -> {
                      FakeWorker m = randomMachine(w);
                      if (m != null) {
                        m.reclaimInSeconds = 10.0;
                        w.time.schedule(10_000, () -> w.reclaimMachine(m));
                      }
                    })),
        day(
            "machines fail every task",
            252_728_984,
            w ->
                repeat(
                    w,
                    15_000,
                    20_000,
                    3,
                    () -> {
                      FakeWorker m = randomMachine(w);
                      if (m != null) {
                        m.failsAllTasks = true;
                      }
                    })),
        day(
            "machines come up that nobody asked for",
            -1_299_966_048,
            w -> {
              w.bootMachine("a", false);
              repeat(w, 20_000, 20_000, 3, () -> w.bootMachine("b", true));
            }),
        day(
            "two nodes can't talk, and machines can't reach one",
            305_137_649,
            w -> {
              w.time.schedule(
                  20_000,
                  () -> {
                    w.blockedLinks.addAll(List.of("n0>n1", "n1>n0"));
                    w.machines.keySet().forEach(m -> w.blockedLinks.add(m + ">n1"));
                  });
              w.time.schedule(50_000, w.blockedLinks::clear);
            }),
        day(
            "messages are lost and come late",
            -773_913_123,
            w -> {
              w.lossProbability = 0.03;
              w.delayProbability = 0.03;
            }),
        day(
            "messages are lost and late while nodes crash and machines hang",
            -1_713_428_559,
            w -> {
              w.lossProbability = 0.02;
              w.delayProbability = 0.02;
              repeat(w, 15_000, 14_000, 6, () -> crashControllers(w, 3_000, w.random.nextInt(3)));
              repeat(w, 17_000, 11_000, 6, () -> hangRandomMachine(w, 20_000));
              w.time.schedule(40_000, () -> stateServiceOutage(w, 15_000));
            }),
        day(
            "machines report but no answer reaches them",
            -911_363_435,
            w -> repeat(w, 20_000, 9_000, 6, () -> blockResponsesTo(w, randomMachine(w)))),
        day(
            "copies of reports come late",
            1_089_740_357,
            w -> w.duplicateHeartbeatProbability = 0.3),
        day(
            "late copies while nodes crash, machines go and come back to other shards",
            871_582_134,
            w -> {
              w.duplicateHeartbeatProbability = 0.3;
              repeat(w, 15_000, 17_000, 5, () -> crashControllers(w, 3_000, w.random.nextInt(3)));
              repeat(w, 18_000, 8_000, 10, () -> w.reclaimMachine(randomMachine(w)));
              repeat(w, 21_000, 15_000, 5, () -> hangRandomMachine(w, 20_000));
            }),
        day(
            "a node has its workers but neither the state service nor the other nodes",
            -768_445_434,
            w -> {
              w.time.schedule(
                  25_000,
                  () -> {
                    w.stateService.refusedControllers.add("n1");
                    blockLinks(w, "n1", List.of("n0", "n2"));
                  });
              w.time.schedule(
                  85_000,
                  () -> {
                    w.stateService.refusedControllers.clear();
                    w.blockedLinks.clear();
                  });
            }),
        day(
            "a node has lost its workers",
            1_684_369_254,
            w -> {
              w.time.schedule(25_000, () -> blockLinks(w, "n1", w.machines.keySet()));
              w.time.schedule(70_000, w.blockedLinks::clear);
            }),
        day(
            "a node has lost all but its users",
            955_864_283,
            w -> {
              w.time.schedule(
                  25_000,
                  () -> {
                    w.stateService.refusedControllers.add("n2");
                    blockLinks(w, "n2", List.of("n0", "n1", "cloud"));
                    blockLinks(w, "n2", w.machines.keySet());
                  });
              w.time.schedule(
                  70_000,
                  () -> {
                    w.stateService.refusedControllers.clear();
                    w.blockedLinks.clear();
                  });
            }),
        day(
            "nodes refuse each other's connections, also in an outage",
            -1_558_155_905,
            w -> {
              w.time.schedule(
                  20_000,
                  () -> {
                    for (int a = 0; a < 3; a++) {
                      for (int b = 0; b < 3; b++) {
                        w.refusedLinks.add("n" + a + ">n" + b);
                      }
                    }
                  });
              w.time.schedule(30_000, () -> stateServiceOutage(w, 12_000));
              w.time.schedule(70_000, w.refusedLinks::clear);
            }),
        day(
            "a node is slow",
            -1_553_804_168,
            w -> {
              w.time.schedule(20_000, () -> w.eventDelayMs[0] = 250);
              w.time.schedule(60_000, () -> w.eventDelayMs[0] = 0);
            }),
        day(
            "all nodes are slow",
            -27_709_125,
            w -> {
              w.time.schedule(20_000, () -> Arrays.fill(w.eventDelayMs, 250));
              w.time.schedule(80_000, () -> Arrays.fill(w.eventDelayMs, 0));
            }),
        day(
            "the nodes that take over are slow",
            -931_046_021,
            w ->
                repeat(
                    w,
                    20_000,
                    30_000,
                    3,
                    () -> {
                      Arrays.fill(w.eventDelayMs, 500);
                      crashControllers(w, 9_000, w.random.nextInt(3));
                      w.time.schedule(20_000, () -> Arrays.fill(w.eventDelayMs, 0));
                    })),
        day(
            "nodes stand still for longer than a lease while their clocks run on",
            -994_921_915,
            w -> {
              repeat(w, 20_000, 25_000, 4, () -> w.pauseController(w.random.nextInt(3), 36_000));
              repeat(w, 18_000, 9_000, 10, () -> w.reclaimMachine(randomMachine(w)));
            }),
        day(
            "nodes are back at once, in the middle of an election",
            -606_780_024,
            w ->
                repeat(
                    w,
                    15_000,
                    11_000,
                    6,
                    () -> {
                      crashControllers(w, 20_000, 0);
                      for (int i = 0; i < 8; i++) {
                        w.time.schedule(
                            3_500 + 400 * i,
                            () -> crashControllers(w, 150, 1 + w.random.nextInt(2)));
                      }
                    })),
        day(
            "a copy of each report comes late, and capacity is short all day",
            -1_603_199_573,
            w -> {
              w.duplicateHeartbeatProbability = 0.2;
              w.cloudCapacity = 4;
            }),
        day(
            "old changes are forgotten by the state service",
            1_617_094_870,
            w -> repeat(w, 10_000, 10_000, 10, w.stateService::compactChanges)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("days")
  void keepsTheRulesAndEndsAllWork(String name, int seedBase, Consumer<SimulatedCluster> troubles) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed * 7_919 + seedBase);
      w.start(30, 90_000);
      w.invariantChecker.faultsEndMs = 130_000;
      troubles.accept(w);
      w.time.runUntil(DAY_MS);
      assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
      assertThat(w.stateService.largestValueBytes).as("bytes of a value").isLessThan(4096);
      // Nothing is left behind: no live records of ended jobs, no machine nobody looks after.
      assertThat(w.stateService.countKeys("w/j/")).as("live jobs").isZero();
      assertThat(w.machines).as("machines").isEmpty();
    }
  }

  /**
   * Nodes that are cut off together hear one another, and must not take that for a general outage
   * for so long that a job cancelled elsewhere goes on; through an outage of all, work goes on.
   */
  @ParameterizedTest(name = "{0} of 5 nodes cut off for {1} ms")
  @CsvSource({"1,10000", "1,100000", "2,10000", "2,100000", "4,100000", "5,25000", "5,60000"})
  void boundsWhatNodesCutOffTogetherKeep(int cutOff, long forMs) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed, 5);
      w.additionalRunMs = 150_000;
      w.earliestCancellationMs = 25_000;
      // Enough for all teams at their limits: what is judged here is not shortage.
      w.cloudCapacity = 60;
      w.lossProbability = 0;
      w.delayProbability = 0;
      w.start(30, 15_000);
      int[] lapsed = new int[1];
      w.time.schedule(
          24_000,
          () -> {
            lapsed[0] = w.expiredLeasesWithTasks;
            List<String> here = new ArrayList<>();
            List<String> there = new ArrayList<>(List.of("users"));
            w.machines.values().forEach(m -> (m.zone.equals("b") ? here : there).add(m.name));
            for (int n = 0; n < 5; n++) {
              (n < cutOff ? here : there).add("n" + n);
            }
            if (cutOff < 5) {
              there.addAll(List.of("cloud", "state"));
              here.forEach(h -> blockLinks(w, h, there));
              // Else the others would give the machines back, and their tasks would end with them.
              blockLinks(w, "cloud", there);
            } else {
              w.stateService.outage = true;
            }
          });
      w.time.schedule(
          24_000 + forMs,
          () -> {
            assertThat(cutOff == 5 ? w.expiredLeasesWithTasks : 0)
                .as("leases")
                .isEqualTo(cutOff == 5 ? lapsed[0] : 0);
            w.stateService.endOutage();
            w.blockedLinks.clear();
          });
      w.invariantChecker.faultsEndMs = 24_000 + forMs;
      w.time.runUntil(2 * DAY_MS);
      assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
    }
  }

  /** A node that its workers can't reach leaves its shard to one they can, before leases end. */
  @Test
  void leavesItsPartToANodeThatTheWorkersReach() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed, 5);
      w.lossProbability = 0;
      w.delayProbability = 0;
      w.additionalRunMs = 60_000;
      w.start(30, 15_000);
      w.time.runUntil(30_000);
      int lapsed = w.expiredLeasesWithTasks;
      for (int n = 0; n < 300; n++) {
        w.blockedLinks.add("host-%06d>n1".formatted(n));
        w.blockedLinks.add("n1>host-%06d".formatted(n));
      }
      w.time.runUntil(75_000);
      assertThat(w.expiredLeasesWithTasks).as("leases, seed %d", seed).isEqualTo(lapsed);
      w.blockedLinks.clear();
      w.time.runUntil(DAY_MS);
      assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
    }
  }

  /** Jobs that fail everywhere until they are cancelled: no machine is blamed for them. */
  @Test
  void mistakenJobsHaveNoMachineQuarantined() {
    for (long seed = 1; seed <= 6; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed);
      // A machine two of whose answers in a row are lost is rightly given back as silent.
      w.lossProbability = 0;
      w.delayProbability = 0;
      w.cloudCapacity = 12;
      w.runs = drop -> 200_000;
      w.start(0, 1);
      for (int n = 0; n < 6; n++) {
        SimulatedUser u = new SimulatedUser(w, n, 4, null, false, false);
        w.time.schedule(3_000, u::submit);
      }
      List<SimulatedUser> mistaken = new ArrayList<>();
      for (int n = 6; n < 18; n++) {
        SimulatedUser u = new SimulatedUser(w, n, 5, null, false, false);
        u.tasksAlwaysFail = true;
        mistaken.add(u);
        w.time.schedule(30_000 + 1_500 * n, u::submit);
      }
      w.time.schedule(80_000, () -> crashControllers(w, 8_000, 0, 1, 2));
      w.time.runUntil(25_000);
      int before = w.scaledInMachines;
      w.time.runUntil(150_000);
      assertThat(w.scaledInMachines).as("given back, seed %d", seed).isEqualTo(before);
      mistaken.forEach(u -> u.cancelsJob = true);
      mistaken.forEach(SimulatedUser::cancel);
      w.time.runUntil(DAY_MS);
      assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
    }
  }

  /** Guests have neither a guarantee nor a limit: they are served, and starve nobody. */
  @Test
  void servesGuestsAndTheTeamsBesideThem() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed);
      w.cloudCapacity = 12;
      w.start(0, 1);
      SimulatedUser array = new SimulatedUser(w, 1_000, "guests", 300, null, true, false);
      w.time.schedule(3_000, array::submit);
      for (int n = 0; n < 60; n++) {
        SimulatedUser guest = new SimulatedUser(w, 2_000 + n, "guests", 1, null, true, false);
        w.time.schedule(5_000 + 200 * n, guest::submit);
      }
      List<SimulatedUser> others = new ArrayList<>();
      for (int n = 0; n < 30; n++) {
        SimulatedUser u = new SimulatedUser(w, n, 1 + n % 4, null, true, false);
        others.add(u);
        w.time.schedule(20_000 + 3_000 * n, u::submit);
      }
      w.time.runUntil(1_200_000);
      assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
      for (SimulatedUser u : others) {
        assertThat(u.firstTaskStartedMs - u.firstSubmittedMs)
            .as("%s of %s", u.jobId, u.team)
            .isLessThan(60_000);
      }
    }
  }

  /** Three times more work than machines for it, for minutes: no team, size or class starves. */
  @Test
  void everyJobBeginsWithinFourMinutesWhileCapacityIsShort() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed);
      w.cloudCapacity = 4;
      w.start(0, 1);
      for (int n = 0; n < 60; n++) {
        SimulatedUser u = new SimulatedUser(w, n, n % 10 == 0 ? 40 : 1 + n % 7, null, true, false);
        w.time.schedule(3_000 + 2_500 * n, u::submit);
      }
      w.time.runUntil(1_200_000);
      assertThat(w.invariantChecker.violations).isEmpty();
      assertThat(w.unfinishedJobs()).isEmpty();
      for (SimulatedUser u : w.users.values()) {
        assertThat(u.firstTaskStartedMs - u.firstSubmittedMs)
            .as("%s of %s with %d tasks, seed %d", u.jobId, u.team, u.taskCount, seed)
            .isLessThan(240_000);
      }
    }
  }

  /**
   * The cloud has no more machines, and those of one shard keep a long task each and room beside
   * it, while a job of another shard, under its team's limit, waits.
   */
  @Test
  void noJobWaitsWhileABusyMachineOfAnotherPartHasRoom() {
    SimulatedCluster w = new SimulatedCluster(1);
    w.cloudCapacity = 4;
    w.lossProbability = 0;
    w.delayProbability = 0;
    w.runs =
        drop ->
            drop.startsWith("wk-000000") && SimulatedCluster.taskIndex(drop) % 4 == 0
                ? 300_000
                : 5_000;
    w.invariantChecker.faultsEndMs = 0;
    w.start(0, 1);
    SimulatedUser first = new SimulatedUser(w, 0, 16, null, true, false);
    SimulatedUser second = new SimulatedUser(w, 1, 1, null, true, false);
    w.time.schedule(5_000, first::submit);
    w.time.schedule(60_000, second::submit);
    w.time.runUntil(DAY_MS);
    assertThat(w.unfinishedJobs()).isEmpty();
    assertThat(w.invariantChecker.violations).isEmpty();
  }

  @Test
  void givesTheSameVerdictEveryTime() {
    long[] ends = new long[2];
    for (int i = 0; i < 2; i++) {
      SimulatedCluster w = new SimulatedCluster(4);
      w.start(10, 20_000);
      w.time.runUntil(60_000);
      ends[i] = w.stateService.countKeys("") * 1_000L + w.random.nextInt(1_000);
    }
    assertThat(ends[0]).isEqualTo(ends[1]);
  }
}
