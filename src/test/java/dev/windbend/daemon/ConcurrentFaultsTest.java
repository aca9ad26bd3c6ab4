package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.any;
import static dev.windbend.daemon.FaultInjection.crash;
import static dev.windbend.daemon.FaultInjection.cutOff;
import static dev.windbend.daemon.FaultInjection.deafen;
import static dev.windbend.daemon.FaultInjection.each;
import static dev.windbend.daemon.FaultInjection.outage;
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
    w.time.at(forMs, () -> machines.forEach(m -> m.hung = false));
  }

  /** Refused alone, and 2 s later out for all. */
  private static void refuseThenOutage(SimulatedCluster w, String owner) {
    w.store.deaf.add(owner);
    w.time.at(14_000, () -> w.store.deaf.clear());
    w.time.at(2_000, () -> outage(w, OUTAGE_MS));
  }

  static Stream<Arguments> gaps() {
    return Stream.of(
        gap(
            "refused alone, another node confirms, then out for all",
            1_670_303_998,
            true,
            (w, owner) -> {
              refuseThenOutage(w, owner);
              w.time.at(1_000, () -> w.cancelNow(6, owner));
            }),
        gap(
            "cancelled at the very moment at which the owner is refused, then out for all",
            985_899_756,
            true,
            (w, owner) -> {
              w.cancelNow(6, owner);
              refuseThenOutage(w, owner);
            }),
        gap(
            "the owner knows, but its machines hang until its hold may have ended",
            975_720_275,
            true,
            (w, owner) -> {
              hang(w, w.cancelNow(6, owner), 8_000);
              w.time.at(500, () -> outage(w, OUTAGE_MS));
            }),
        gap(
            "the confirming node is back at once within the outage",
            -400_908_559,
            false,
            (w, owner) -> {
              refuseThenOutage(w, owner);
              w.time.at(1_000, () -> w.cancelNow(6, owner));
              for (int n = 0; n < w.size; n++) {
                int node = n;
                if (!("n" + n).equals(owner)) {
                  // Before the owner can have asked it anything.
                  w.time.at(1_020, () -> cutOff(w, "n" + node, List.of(owner)));
                  w.time.at(3_000, () -> w.kill(node, 300));
                  w.time.at(6_000, () -> w.cut.clear());
                }
              }
            }),
        gap(
            "the owner hears no other node",
            2_001_639_514,
            false,
            (w, owner) -> {
              for (int n = 0; n < w.size; n++) {
                w.refused.add(owner + ">n" + n);
                w.refused.add("n" + n + ">" + owner);
              }
              refuseThenOutage(w, owner);
              w.time.at(1_000, () -> w.cancelNow(6, owner));
              w.time.at(2_000 + OUTAGE_MS, w.refused::clear);
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
      w.loss = 0;
      w.late = 0;
      w.leastRunMs = 150_000;
      w.cancelsFromMs = DAY_MS;
      // Nothing may rely on direct commands: they are a quicker way, and often get lost.
      w.loseCommands = seed > 1;
      // Enough for all teams at their limits: what is judged here is not shortage.
      w.capacity = 60;
      w.begin(30, 15_000);
      w.time.runUntil(MEET_MS);
      int lapsed = w.lapsed;
      troubles.accept(w, w.owner(0));
      w.judge.calmFromMs = MEET_MS + 2_000 + OUTAGE_MS;
      w.time.runUntil(w.judge.calmFromMs);
      if (keepsOthers) {
        assertThat(w.lapsed).as("leases, seed %d", seed).isEqualTo(lapsed);
      }
      w.time.runUntil(3 * DAY_MS);
      assertThat(w.judge.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinished()).as("unfinished, seed %d", seed).isEmpty();
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
        .forEach(w::take);
  }

  /** Cut from the state service and the other nodes, not from workers and users. */
  private static void cutFromServices(SimulatedCluster w, String node, long forMs) {
    w.store.deaf.add(node);
    for (int n = 0; n < w.size; n++) {
      if (!node.equals("n" + n)) {
        cutOff(w, node, List.of("n" + n));
      }
    }
    w.time.at(
        forMs,
        () -> {
          w.store.deaf.clear();
          w.cut.clear();
        });
  }

  /** The tasks of jobs just cancelled are gone soon, by direct commands. */
  private static void goneBy(SimulatedCluster w, List<FakeWorker> machines, long ms) {
    w.time.at(
        ms,
        () ->
            assertThat(w.cancelledStillOn())
                .as("tasks of cancelled jobs on %d machines", machines.size())
                .isEmpty());
  }

  /** Again and again the first shard's owner of that moment ends, and is back after a while. */
  private static void leadersEnd(
      SimulatedCluster w, long fromMs, long everyMs, int times, long backMs) {
    each(w, fromMs, everyMs, times, () -> crash(w, backMs, number(w.owner(0))));
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
              w.time.at(20_000, () -> w.slowStoreMs = 1_500);
              each(w, 22_000, 6_000, 8, () -> w.cancelNow(1, null));
              w.time.at(45_000, () -> w.slowStoreMs = 0);
              w.time.at(50_000, () -> refuseThenOutage(w, w.owner(0)));
            }),
        meeting(
            "jobs bound to one zone, arrays too, lose machines",
            -2_034_016_510,
            w -> {
              each(w, 20_000, 7_000, 10, () -> takeOf(w, "b", 3));
              each(w, 23_000, 11_000, 6, () -> takeOf(w, "a", 2));
            }),
        meeting(
            "a report is held back until a new leader has acted, and then arrives there",
            1_811_502_502,
            w -> {
              w.copies = 0.5;
              w.copyMs = 12_000;
              leadersEnd(w, 20_000, 12_000, 8, 9_000);
            }),
        meeting(
            "a team at its limit, the leader changes, machines can't be asked, jobs are cancelled",
            1_074_662_724,
            w -> {
              w.leastRunMs = 20_000;
              each(
                  w,
                  25_000,
                  25_000,
                  4,
                  () -> {
                    for (int i = 0; i < 3; i++) {
                      FaultInjection.hang(w, 12_000);
                    }
                    crash(w, 8_000, number(w.owner(0)));
                    w.time.at(3_000, () -> w.cancelNow(2, null));
                  });
            }),
        meeting(
            "a leader is cut from state service and nodes, jobs are cancelled through the new one",
            1_294_540_671,
            w -> {
              w.leastRunMs = 40_000;
              each(
                  w,
                  25_000,
                  50_000,
                  2,
                  () -> {
                    String leader = w.owner(0);
                    cutFromServices(w, leader, 40_000);
                    each(w, 1_000, 4_000, 4, () -> w.cancelNow(2, leader));
                  });
            }),
        meeting(
            "a command or its answer is held up for seconds, and the machine then goes on",
            -1_703_062_844,
            w -> {
              w.slowLinkMs = 4_500;
              each(w, 20_000, 6_000, 12, () -> FaultInjection.hang(w, 5_000));
              each(w, 25_000, 9_000, 6, () -> w.cancelNow(1, null));
            }),
        meeting(
            "workers can't open connections to any controller",
            -1_326_698_942,
            w -> {
              w.leastRunMs = 20_000;
              each(
                  w,
                  25_000,
                  35_000,
                  3,
                  () -> {
                    w.mute.addAll(w.machines.keySet());
                    w.time.at(9_000, w.mute::clear);
                  });
              w.time.at(62_000, () -> goneBy(w, w.cancelNow(4, null), 2_000));
            }),
        meeting(
            "more work than room, urgent and not, over slow links",
            421_972_189,
            w -> {
              w.capacity = 8;
              w.slowLinkMs = 1_500;
            }),
        meeting(
            "controllers hand over and back, all end, and one returns, also within a second",
            660_085_499,
            w -> {
              leadersEnd(w, 20_000, 8_000, 4, 5_000);
              w.time.at(
                  60_000,
                  () -> {
                    crash(w, 400, 0);
                    crash(w, 20_000, 1, 2);
                  });
              w.time.at(95_000, () -> crash(w, 300, 0, 1, 2));
              w.time.at(95_900, () -> crash(w, 200, 1));
            }),
        meeting(
            "leaders change ten times in two minutes, also inside an outage",
            1_767_765_470,
            w -> {
              w.leastRunMs = 10_000;
              leadersEnd(w, 15_000, 11_500, 10, 6_000);
              w.time.at(50_000, () -> outage(w, 30_000));
              each(w, 40_000, 9_000, 5, () -> w.cancelNow(1, null));
            }),
        meeting(
            "a zone with workers and a controller is cut off for longer than a lease",
            1_673_882_115,
            w -> {
              w.leastRunMs = 20_000;
              w.time.at(
                  30_000,
                  () -> {
                    List<String> here = new ArrayList<>(List.of("n1"));
                    List<String> there = new ArrayList<>(List.of("n0", "n2", "state", "users"));
                    w.machines
                        .values()
                        .forEach(m -> (m.zone.equals("b") ? here : there).add(m.name));
                    here.forEach(h -> cutOff(w, h, there));
                    w.store.deaf.add("n1");
                  });
              each(w, 32_000, 5_000, 4, () -> w.cancelNow(1, "n1"));
              w.time.at(
                  65_000,
                  () -> {
                    w.cut.clear();
                    w.store.deaf.clear();
                  });
            }),
        meeting(
            "an old report arrives after newer ones, also of an earlier session or attempt",
            611_181_345,
            w -> {
              w.copies = 0.5;
              w.copyMs = 60_000;
              each(w, 20_000, 10_000, 8, () -> FaultInjection.hang(w, 20_000));
              each(w, 24_000, 16_000, 5, () -> crash(w, 300, w.random.nextInt(3)));
            }),
        meeting(
            "a leader ends while machines with long tasks can't be reached or don't hear the new one",
            -598_686_661,
            w -> {
              w.leastRunMs = 30_000;
              each(
                  w,
                  30_000,
                  30_000,
                  3,
                  () -> {
                    FaultInjection.hang(w, 13_000);
                    FaultInjection.hang(w, 13_000);
                    FakeWorker deaf = any(w);
                    crash(w, 12_000, number(w.owner(0)));
                    w.time.at(1_000, () -> deafen(w, deaf));
                    w.time.at(12_000, w.cut::clear);
                  });
            }),
        meeting(
            "a cancellation, a question or a repetition meets the end of a job's last task",
            -75_479_856,
            w -> w.meetEnds = true),
        meeting(
            "cancelled at the moment of the refusal, and a second later it is out for all",
            -1_558_311_254,
            w -> {
              w.leastRunMs = 60_000;
              w.capacity = 60;
              w.time.at(
                  40_000,
                  () -> {
                    String leader = w.owner(0);
                    w.cancelNow(5, leader);
                    w.store.deaf.add(leader);
                    w.time.at(1_000, () -> outage(w, 45_000));
                    w.time.at(14_000, () -> w.store.deaf.clear());
                  });
            }),
        meeting(
            "jobs of two or three tasks end far apart across a change of leader",
            905_131_434,
            w -> {
              w.tasksMost = 3;
              w.farApartMs = 40_000;
              leadersEnd(w, 25_000, 20_000, 5, 8_000);
            }),
        meeting(
            "all controllers are away for longer than a lease",
            8_108_286,
            w -> {
              w.leastRunMs = 15_000;
              w.time.at(35_000, () -> crash(w, 20_000, 0, 1, 2));
              w.time.at(80_000, () -> crash(w, 30_000, 0, 1, 2));
            }),
        meeting(
            "a transaction without an answer is carried out late, after newer ones",
            -1_047_322_060,
            w -> {
              w.lateWrites = 0.1;
              each(w, 20_000, 15_000, 5, () -> crash(w, 2_500, w.random.nextInt(3)));
              each(w, 24_000, 9_000, 6, () -> w.cancelNow(1, null));
              w.time.at(110_000, () -> w.lateWrites = 0);
            }),
        meeting(
            "one-task jobs come four a second for minutes, a quarter of them cancelled",
            -1_505_989_216,
            w -> {
              w.capacity = 45;
              for (int n = 0; n < 480; n++) {
                SimulatedUser user = new SimulatedUser(w, 1_000 + n, 1, null, true, n % 4 == 3);
                w.time.at(10_000 + 250L * n, user::submit);
              }
              each(w, 30_000, 30_000, 3, () -> crash(w, 3_000, w.random.nextInt(3)));
            }),
        meeting(
            "a command of a leader that has ended or was deposed arrives after the new leader's",
            -1_810_020_084,
            w -> {
              w.leastRunMs = 20_000;
              w.lateCommands = 1;
              each(
                  w,
                  25_000,
                  17_000,
                  6,
                  () -> {
                    w.cancelNow(2, null);
                    crash(w, 9_000, number(w.owner(0)));
                    w.time.at(6_000, () -> w.cancelNow(1, null));
                  });
            }),
        meeting(
            "jobs are cancelled in the seconds in which a shard changes hands",
            -1_140_270_066,
            w -> {
              w.leastRunMs = 15_000;
              each(
                  w,
                  20_000,
                  20_000,
                  5,
                  () -> {
                    crash(w, 9_000, number(w.owner(0)));
                    each(w, 1, 600, 12, () -> w.cancelNow(1, null));
                  });
            }),
        meeting(
            "all teams at their limits, cancelled jobs' machines cut off or hung, a new leader",
            1_456_254_512,
            w -> {
              w.leastRunMs = 40_000;
              w.capacity = 60;
              each(
                  w,
                  30_000,
                  35_000,
                  3,
                  () -> {
                    List<FakeWorker> machines = w.cancelNow(3, null);
                    hang(w, machines.subList(0, machines.size() / 2), 12_000);
                    machines
                        .subList(machines.size() / 2, machines.size())
                        .forEach(m -> cutOff(w, m.name, List.of("n0", "n1", "n2")));
                    crash(w, 8_000, number(w.owner(0)), number(w.owner(1)));
                    w.time.at(10_000, w.cut::clear);
                  });
            }),
        meeting(
            "users look at all nodes within milliseconds, mirrors lag, nodes restart or are refused",
            -1_838_197_352,
            w -> {
              w.closeLooks = true;
              w.meetEnds = true;
              w.slowStoreMs = 400;
              each(w, 15_000, 7_000, 12, () -> w.cancelNow(1, null));
              each(w, 20_000, 13_000, 6, () -> crash(w, 300, w.random.nextInt(3)));
              each(w, 25_000, 20_000, 4, () -> w.store.deaf.add("n" + w.random.nextInt(3)));
              each(w, 33_000, 20_000, 4, () -> w.store.deaf.clear());
            }),
        meeting(
            "new machines are up within two seconds while writes lag, and the leader ends",
            -102_219_639,
            w -> {
              w.bootMs = 200;
              w.bootSpreadMs = 1_500;
              w.slowStoreMs = 1_500;
              w.time.at(5_500, () -> crash(w, 6_000, number(w.owner(0))));
              each(
                  w,
                  20_000,
                  15_000,
                  6,
                  () -> {
                    takeOf(w, "a", 4);
                    w.time.at(1_500, () -> crash(w, 6_000, number(w.owner(0))));
                  });
              w.time.at(120_000, () -> w.slowStoreMs = 0);
            }),
        meeting(
            "a transaction is carried out at once and only its answer is lost",
            -1_208_034_964,
            w -> {
              w.lostWriteAnswers = 0.15;
              w.closeLooks = true;
              w.meetEnds = true;
              each(w, 20_000, 15_000, 5, () -> crash(w, 2_500, w.random.nextInt(3)));
              each(w, 24_000, 9_000, 6, () -> w.cancelNow(1, null));
              w.time.at(110_000, () -> w.lostWriteAnswers = 0);
            }),
        meeting(
            "an old report reaches every controller just as a new leader begins",
            -1_497_568_344,
            w -> {
              w.leastRunMs = 10_000;
              each(
                  w,
                  20_000,
                  20_000,
                  5,
                  () -> {
                    Map<String, byte[]> old = w.reports();
                    w.time.at(4_000, () -> crash(w, 9_000, number(w.owner(0))));
                    each(w, 7_000, 250, 16, () -> w.deliverAgain(old));
                  });
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("meetings")
  void keepsTheRulesAndEndsAllWork(String name, int seedBase, Consumer<SimulatedCluster> troubles) {
    for (long seed = 1; seed <= 4; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed * 104_729 + seedBase);
      w.judge.calmFromMs = 150_000;
      troubles.accept(w);
      w.begin(30, 90_000);
      w.time.runUntil(2 * DAY_MS);
      assertThat(w.judge.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinished()).as("unfinished, seed %d", seed).isEmpty();
      assertThat(w.store.liveKeys("w/j/")).as("live jobs").isZero();
      assertThat(w.machines).as("machines").isEmpty();
    }
  }
}
