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
  private static final long DAY_MS = 600_000;
  private static final long MEET_MS = 30_000;
  private static final long OUTAGE_MS = 62_000;

  /** What else happens when cancellations meet the end of the state service's answers. */
  private static Arguments gap(
      String name,
      int seedBase,
      boolean keepsOthers,
      BiConsumer<SimulatedCluster, String> troubles) {
    return Arguments.of(name, seedBase, keepsOthers, troubles);
  }

  private static void hang(SimulatedCluster w, List<FakeWorker> machines, long forMs) {
    machines.forEach(m -> m.hung = true);
    w.time.schedule(forMs, () -> machines.forEach(m -> m.hung = false));
  }

  /** Refused alone, and 2 s later out for all. */
  private static void refuseThenOutage(SimulatedCluster w, String owner) {
    w.stateService.refusedControllers.add(owner);
    w.time.schedule(14_000, () -> w.stateService.refusedControllers.clear());
    w.time.schedule(2_000, () -> stateServiceOutage(w, OUTAGE_MS));
  }

  static Stream<Arguments> gaps() {
    return Stream.of(
        gap(
            "refused alone, another node confirms, then out for all",
            1_670_303_998,
            true,
            (w, owner) -> {
              refuseThenOutage(w, owner);
              w.time.schedule(1_000, () -> w.cancelRunningJobs(6, owner));
            }),
        gap(
            "cancelled at the very moment at which the owner is refused, then out for all",
            985_899_756,
            true,
            (w, owner) -> {
              w.cancelRunningJobs(6, owner);
              refuseThenOutage(w, owner);
            }),
        gap(
            "the owner knows, but its machines hang until its hold may have ended",
            975_720_275,
            true,
            (w, owner) -> {
              hang(w, w.cancelRunningJobs(6, owner), 8_000);
              w.time.schedule(500, () -> stateServiceOutage(w, OUTAGE_MS));
            }),
        gap(
            "the confirming node is back at once within the outage",
            -400_908_559,
            false,
            (w, owner) -> {
              refuseThenOutage(w, owner);
              w.time.schedule(1_000, () -> w.cancelRunningJobs(6, owner));
              for (int n = 0; n < w.controllerCount; n++) {
                int node = n;
                if (!("n" + n).equals(owner)) {
                  // Before the owner can have asked it anything.
                  w.time.schedule(1_020, () -> blockLinks(w, "n" + node, List.of(owner)));
                  w.time.schedule(3_000, () -> w.killController(node, 300));
                  w.time.schedule(6_000, () -> w.blockedLinks.clear());
                }
              }
            }),
        gap(
            "the owner hears no other node",
            2_001_639_514,
            false,
            (w, owner) -> {
              for (int n = 0; n < w.controllerCount; n++) {
                w.refusedLinks.add(owner + ">n" + n);
                w.refusedLinks.add("n" + n + ">" + owner);
              }
              refuseThenOutage(w, owner);
              w.time.schedule(1_000, () -> w.cancelRunningJobs(6, owner));
              w.time.schedule(2_000 + OUTAGE_MS, w.refusedLinks::clear);
            }));
  }

  /**
   * The state service refuses the owner of shards alone, another node confirms cancellations, then
   * it is out for all for longer than {@code cancel_s}: the tasks are gone in time, and where the
   * owner can learn which they are the others' work goes on.
   */
  @ParameterizedTest(name = "{0}")
  @MethodSource("gaps")
  void tasksCancelledBeforeAnOutageAreGoneInTime(
      String name,
      int seedBase,
      boolean keepsOthers,
      BiConsumer<SimulatedCluster, String> troubles) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed * 31 + seedBase);
      w.lossProbability = 0;
      w.delayProbability = 0;
      w.additionalRunMs = 150_000;
      w.earliestCancellationMs = DAY_MS;
      // Nothing may rely on direct commands: they are a quicker way, and often get lost.
      w.dropCommands = seed > 1;
      // Enough for all teams at their limits: what is judged here is not shortage.
      w.cloudCapacity = 60;
      w.start(30, 15_000);
      w.time.runUntil(MEET_MS);
      int lapsed = w.expiredLeasesWithTasks;
      troubles.accept(w, w.leaderOf(0));
      w.invariantChecker.faultsEndMs = MEET_MS + 2_000 + OUTAGE_MS;
      w.time.runUntil(w.invariantChecker.faultsEndMs);
      if (keepsOthers) {
        assertThat(w.expiredLeasesWithTasks).as("leases, seed %d", seed).isEqualTo(lapsed);
      }
      w.time.runUntil(3 * DAY_MS);
      assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
    }
  }

  private static Arguments meeting(String name, int seedBase, Consumer<SimulatedCluster> troubles) {
    return Arguments.of(name, seedBase, troubles);
  }

  /** Takes some machines of a zone, without notice. */
  private static void takeOf(SimulatedCluster w, String zone, int count) {
    w.machines.values().stream()
        .filter(m -> m.zone.equals(zone))
        .limit(count)
        .toList()
        .forEach(w::reclaimMachine);
  }

  /** Cut from the state service and the other nodes, not from workers and users. */
  private static void cutFromServices(SimulatedCluster w, String node, long forMs) {
    w.stateService.refusedControllers.add(node);
    for (int n = 0; n < w.controllerCount; n++) {
      if (!node.equals("n" + n)) {
        blockLinks(w, node, List.of("n" + n));
      }
    }
    w.time.schedule(
        forMs,
        () -> {
          w.stateService.refusedControllers.clear();
          w.blockedLinks.clear();
        });
  }

  /** The tasks of jobs just cancelled are gone soon, by direct commands. */
  private static void goneBy(SimulatedCluster w, List<FakeWorker> machines, long ms) {
    w.time.schedule(
        ms,
        () ->
            assertThat(w.cancelledJobsWithTasks())
                .as("tasks of cancelled jobs on %d machines", machines.size())
                .isEmpty());
  }

  /** Again and again the first shard's owner of that moment ends, and is back after a while. */
  private static void leadersEnd(
      SimulatedCluster w, long fromMs, long everyMs, int times, long backMs) {
    repeat(w, fromMs, everyMs, times, () -> crashControllers(w, backMs, number(w.leaderOf(0))));
  }

  private static int number(String node) {
    return node == null ? 0 : node.charAt(1) - '0';
  }

  /** The operators' list, in its order. */
  static Stream<Arguments> meetings() {
    return Stream.of(
        meeting(
            "the state service answers slowly, then refuses the leader and then everybody",
            800_819_197,
            w -> {
              w.time.schedule(20_000, () -> w.maxStateServiceDelayMs = 1_500);
              repeat(w, 22_000, 6_000, 8, () -> w.cancelRunningJobs(1, null));
              w.time.schedule(45_000, () -> w.maxStateServiceDelayMs = 0);
              w.time.schedule(50_000, () -> refuseThenOutage(w, w.leaderOf(0)));
            }),
        meeting(
            "jobs bound to one zone, arrays too, lose machines",
            -2_034_016_510,
            w -> {
              repeat(w, 20_000, 7_000, 10, () -> takeOf(w, "b", 3));
              repeat(w, 23_000, 11_000, 6, () -> takeOf(w, "a", 2));
            }),
        meeting(
            "a report is held back until a new leader has acted, and then arrives there",
            1_811_502_502,
            w -> {
              w.duplicateHeartbeatProbability = 0.5;
              w.maxDuplicateDelayMs = 12_000;
              leadersEnd(w, 20_000, 12_000, 8, 9_000);
            }),
        meeting(
            "a team at its limit, the leader changes, machines can't be asked, jobs are cancelled",
            1_074_662_724,
            w -> {
              w.additionalRunMs = 20_000;
              repeat(
                  w,
                  25_000,
                  25_000,
                  4,
                  () -> {
                    for (int i = 0; i < 3; i++) {
                      FaultInjection.hangRandomMachine(w, 12_000);
                    }
                    crashControllers(w, 8_000, number(w.leaderOf(0)));
                    w.time.schedule(3_000, () -> w.cancelRunningJobs(2, null));
                  });
            }),
        meeting(
            "a leader is cut from state service and nodes, jobs are cancelled through the new one",
            1_294_540_671,
            w -> {
              w.additionalRunMs = 40_000;
              repeat(
                  w,
                  25_000,
                  50_000,
                  2,
                  () -> {
                    String leader = w.leaderOf(0);
                    cutFromServices(w, leader, 40_000);
                    repeat(w, 1_000, 4_000, 4, () -> w.cancelRunningJobs(2, leader));
                  });
            }),
        meeting(
            "a command or its answer is held up for seconds, and the machine then goes on",
            -1_703_062_844,
            w -> {
              w.maxHeartbeatDelayMs = 4_500;
              repeat(w, 20_000, 6_000, 12, () -> FaultInjection.hangRandomMachine(w, 5_000));
              repeat(w, 25_000, 9_000, 6, () -> w.cancelRunningJobs(1, null));
            }),
        meeting(
            "workers can't open connections to any controller",
            -1_326_698_942,
            w -> {
              w.additionalRunMs = 20_000;
              repeat(
                  w,
                  25_000,
                  35_000,
                  3,
                  () -> {
                    w.machinesWithBlockedRequests.addAll(w.machines.keySet());
                    w.time.schedule(9_000, w.machinesWithBlockedRequests::clear);
                  });
              w.time.schedule(62_000, () -> goneBy(w, w.cancelRunningJobs(4, null), 2_000));
            }),
        meeting(
            "more work than room, urgent and not, over slow links",
            421_972_189,
            w -> {
              w.cloudCapacity = 8;
              w.maxHeartbeatDelayMs = 1_500;
            }),
        meeting(
            "controllers hand over and back, all end, and one returns, also within a second",
            660_085_499,
            w -> {
              leadersEnd(w, 20_000, 8_000, 4, 5_000);
              w.time.schedule(
                  60_000,
                  () -> {
                    crashControllers(w, 400, 0);
                    crashControllers(w, 20_000, 1, 2);
                  });
              w.time.schedule(95_000, () -> crashControllers(w, 300, 0, 1, 2));
              w.time.schedule(95_900, () -> crashControllers(w, 200, 1));
            }),
        meeting(
            "leaders change ten times in two minutes, also inside an outage",
            1_767_765_470,
            w -> {
              w.additionalRunMs = 10_000;
              leadersEnd(w, 15_000, 11_500, 10, 6_000);
              w.time.schedule(50_000, () -> stateServiceOutage(w, 30_000));
              repeat(w, 40_000, 9_000, 5, () -> w.cancelRunningJobs(1, null));
            }),
        meeting(
            "a zone with workers and a controller is cut off for longer than a lease",
            1_673_882_115,
            w -> {
              w.additionalRunMs = 20_000;
              w.time.schedule(
                  30_000,
                  () -> {
                    List<String> here = new ArrayList<>(List.of("n1"));
                    List<String> there = new ArrayList<>(List.of("n0", "n2", "state", "users"));
                    w.machines
                        .values()
                        .forEach(m -> (m.zone.equals("b") ? here : there).add(m.name));
                    here.forEach(h -> blockLinks(w, h, there));
                    w.stateService.refusedControllers.add("n1");
                  });
              repeat(w, 32_000, 5_000, 4, () -> w.cancelRunningJobs(1, "n1"));
              w.time.schedule(
                  65_000,
                  () -> {
                    w.blockedLinks.clear();
                    w.stateService.refusedControllers.clear();
                  });
            }),
        meeting(
            "an old report arrives after newer ones, also of an earlier session or attempt",
            611_181_345,
            w -> {
              w.duplicateHeartbeatProbability = 0.5;
              w.maxDuplicateDelayMs = 60_000;
              repeat(w, 20_000, 10_000, 8, () -> FaultInjection.hangRandomMachine(w, 20_000));
              repeat(w, 24_000, 16_000, 5, () -> crashControllers(w, 300, w.random.nextInt(3)));
            }),
        meeting(
            "a leader ends while machines with long tasks can't be reached or don't hear the new one",
            -598_686_661,
            w -> {
              w.additionalRunMs = 30_000;
              repeat(
                  w,
                  30_000,
                  30_000,
                  3,
                  () -> {
                    FaultInjection.hangRandomMachine(w, 13_000);
                    FaultInjection.hangRandomMachine(w, 13_000);
                    FakeWorker deaf = randomMachine(w);
                    crashControllers(w, 12_000, number(w.leaderOf(0)));
                    w.time.schedule(1_000, () -> blockResponsesTo(w, deaf));
                    w.time.schedule(12_000, w.blockedLinks::clear);
                  });
            }),
        meeting(
            "a cancellation, a question or a repetition meets the end of a job's last task",
            -75_479_856,
            w -> w.usersActAtJobEnd = true),
        meeting(
            "cancelled at the moment of the refusal, and a second later it is out for all",
            -1_558_311_254,
            w -> {
              w.additionalRunMs = 60_000;
              w.cloudCapacity = 60;
              w.time.schedule(
                  40_000,
                  () -> {
                    String leader = w.leaderOf(0);
                    w.cancelRunningJobs(5, leader);
                    w.stateService.refusedControllers.add(leader);
                    w.time.schedule(1_000, () -> stateServiceOutage(w, 45_000));
                    w.time.schedule(14_000, () -> w.stateService.refusedControllers.clear());
                  });
            }),
        meeting(
            "jobs of two or three tasks end far apart across a change of leader",
            905_131_434,
            w -> {
              w.maxTasksPerJob = 3;
              w.runTimeStepMs = 40_000;
              leadersEnd(w, 25_000, 20_000, 5, 8_000);
            }),
        meeting(
            "all controllers are away for longer than a lease",
            8_108_286,
            w -> {
              w.additionalRunMs = 15_000;
              w.time.schedule(35_000, () -> crashControllers(w, 20_000, 0, 1, 2));
              w.time.schedule(80_000, () -> crashControllers(w, 30_000, 0, 1, 2));
            }),
        meeting(
            "a transaction without an answer is carried out late, after newer ones",
            -1_047_322_060,
            w -> {
              w.delayedWriteProbability = 0.1;
              repeat(w, 20_000, 15_000, 5, () -> crashControllers(w, 2_500, w.random.nextInt(3)));
              repeat(w, 24_000, 9_000, 6, () -> w.cancelRunningJobs(1, null));
              w.time.schedule(110_000, () -> w.delayedWriteProbability = 0);
            }),
        meeting(
            "one-task jobs come four a second for minutes, a quarter of them cancelled",
            -1_505_989_216,
            w -> {
              w.cloudCapacity = 45;
              for (int n = 0; n < 480; n++) {
                SimulatedUser user = new SimulatedUser(w, 1_000 + n, 1, null, true, n % 4 == 3);
                w.time.schedule(10_000 + 250L * n, user::submit);
              }
              repeat(w, 30_000, 30_000, 3, () -> crashControllers(w, 3_000, w.random.nextInt(3)));
            }),
        meeting(
            "a command of a leader that has ended or was deposed arrives after the new leader's",
            -1_810_020_084,
            w -> {
              w.additionalRunMs = 20_000;
              w.delayedCommandProbability = 1;
              repeat(
                  w,
                  25_000,
                  17_000,
                  6,
                  () -> {
                    w.cancelRunningJobs(2, null);
                    crashControllers(w, 9_000, number(w.leaderOf(0)));
                    w.time.schedule(6_000, () -> w.cancelRunningJobs(1, null));
                  });
            }),
        meeting(
            "jobs are cancelled in the seconds in which a shard changes hands",
            -1_140_270_066,
            w -> {
              w.additionalRunMs = 15_000;
              repeat(
                  w,
                  20_000,
                  20_000,
                  5,
                  () -> {
                    crashControllers(w, 9_000, number(w.leaderOf(0)));
                    repeat(w, 1, 600, 12, () -> w.cancelRunningJobs(1, null));
                  });
            }),
        meeting(
            "all teams at their limits, cancelled jobs' machines cut off or hung, a new leader",
            1_456_254_512,
            w -> {
              w.additionalRunMs = 40_000;
              w.cloudCapacity = 60;
              repeat(
                  w,
                  30_000,
                  35_000,
                  3,
                  () -> {
                    List<FakeWorker> machines = w.cancelRunningJobs(3, null);
                    hang(w, machines.subList(0, machines.size() / 2), 12_000);
                    machines
                        .subList(machines.size() / 2, machines.size())
                        .forEach(m -> blockLinks(w, m.name, List.of("n0", "n1", "n2")));
                    crashControllers(w, 8_000, number(w.leaderOf(0)), number(w.leaderOf(1)));
                    w.time.schedule(10_000, w.blockedLinks::clear);
                  });
            }),
        meeting(
            "users look at all nodes within milliseconds, mirrors lag, nodes restart or are refused",
            -1_838_197_352,
            w -> {
              w.usersQueryAllControllers = true;
              w.usersActAtJobEnd = true;
              w.maxStateServiceDelayMs = 400;
              repeat(w, 15_000, 7_000, 12, () -> w.cancelRunningJobs(1, null));
              repeat(w, 20_000, 13_000, 6, () -> crashControllers(w, 300, w.random.nextInt(3)));
              repeat(
                  w,
                  25_000,
                  20_000,
                  4,
                  () -> w.stateService.refusedControllers.add("n" + w.random.nextInt(3)));
              repeat(w, 33_000, 20_000, 4, () -> w.stateService.refusedControllers.clear());
            }),
        meeting(
            "new machines are up within two seconds while writes lag, and the leader ends",
            -102_219_639,
            w -> {
              w.minBootMs = 200;
              w.bootJitterMs = 1_500;
              w.maxStateServiceDelayMs = 1_500;
              w.time.schedule(5_500, () -> crashControllers(w, 6_000, number(w.leaderOf(0))));
              repeat(
                  w,
                  20_000,
                  15_000,
                  6,
                  () -> {
                    takeOf(w, "a", 4);
                    w.time.schedule(1_500, () -> crashControllers(w, 6_000, number(w.leaderOf(0))));
                  });
              w.time.schedule(120_000, () -> w.maxStateServiceDelayMs = 0);
            }),
        meeting(
            "a transaction is carried out at once and only its answer is lost",
            -1_208_034_964,
            w -> {
              w.lostWriteResponseProbability = 0.15;
              w.usersQueryAllControllers = true;
              w.usersActAtJobEnd = true;
              repeat(w, 20_000, 15_000, 5, () -> crashControllers(w, 2_500, w.random.nextInt(3)));
              repeat(w, 24_000, 9_000, 6, () -> w.cancelRunningJobs(1, null));
              w.time.schedule(110_000, () -> w.lostWriteResponseProbability = 0);
            }),
        meeting(
            "an old report reaches every controller just as a new leader begins",
            -1_497_568_344,
            w -> {
              w.additionalRunMs = 10_000;
              repeat(
                  w,
                  20_000,
                  20_000,
                  5,
                  () -> {
                    Map<String, byte[]> old = w.copyLatestHeartbeats();
                    w.time.schedule(4_000, () -> crashControllers(w, 9_000, number(w.leaderOf(0))));
                    repeat(w, 7_000, 250, 16, () -> w.redeliverHeartbeats(old));
                  });
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("meetings")
  void keepsTheRulesAndEndsAllWork(String name, int seedBase, Consumer<SimulatedCluster> troubles) {
    for (long seed = 1; seed <= 4; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed * 104_729 + seedBase);
      w.invariantChecker.faultsEndMs = 150_000;
      troubles.accept(w);
      w.start(30, 90_000);
      w.time.runUntil(2 * DAY_MS);
      assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
      assertThat(w.stateService.countKeys("w/j/")).as("live jobs").isZero();
      assertThat(w.machines).as("machines").isEmpty();
    }
  }
}
