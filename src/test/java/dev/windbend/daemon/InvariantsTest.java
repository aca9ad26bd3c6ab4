package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.any;
import static dev.windbend.daemon.FaultInjection.crash;
import static dev.windbend.daemon.FaultInjection.cutOff;
import static dev.windbend.daemon.FaultInjection.deafen;
import static dev.windbend.daemon.FaultInjection.each;
import static dev.windbend.daemon.FaultInjection.hang;
import static dev.windbend.daemon.FaultInjection.outage;
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
        day("one node crashes", 1_507_492_337, w -> w.time.at(20_000, () -> crash(w, 4_000, 1))),
        day(
            "all crash at once",
            -1_162_489_194,
            w -> w.time.at(30_000, () -> crash(w, 3_000, 0, 1, 2))),
        day(
            "all are restarted in turn",
            -1_011_891_365,
            w -> {
              for (int i = 0; i < 3; i++) {
                int n = i;
                w.time.at(20_000 + 15_000 * i, () -> crash(w, 2_500, n));
              }
            }),
        day(
            "a node comes back within a fraction of a second, again and again",
            -1_277_928_646,
            w -> each(w, 15_000, 9_000, 8, () -> crash(w, 300, w.random.nextInt(3)))),
        day(
            "a node is away for longer than its hold",
            -748_645_775,
            w -> each(w, 15_000, 30_000, 3, () -> crash(w, 20_000, w.random.nextInt(3)))),
        day(
            "the state service is down",
            -1_173_977_233,
            w -> w.time.at(25_000, () -> outage(w, 25_000))),
        day(
            "a takeover in the middle of an outage",
            1_890_661_602,
            w -> {
              w.time.at(25_000, () -> outage(w, 20_000));
              w.time.at(30_000, () -> crash(w, 3_000, 0, 1));
            }),
        day(
            "one node alone is not served",
            1_227_051_567,
            w -> {
              w.time.at(20_000, () -> w.store.deaf.add("n1"));
              w.time.at(60_000, () -> w.store.deaf.clear());
            }),
        day(
            "machines hang up to their lease and beyond",
            1_538_199_774,
            w -> {
              each(w, 15_000, 11_000, 8, () -> hang(w, 13_500));
              each(w, 19_000, 13_000, 6, () -> hang(w, 40_000));
            }),
        day(
            "machines are taken without notice",
            222_921_865,
            w ->
                each(
                    w,
                    15_000,
                    4_000,
                    20,
                    () -> {
                      FakeWorker m = any(w);
                      if (m != null) {
                        w.take(m);
                      }
                    })),
        day(
            "machines are taken with notice",
            1_782_215_353,
            w ->
                each(
                    w,
                    15_000,
                    6_000,
                    12,
                    () -> {
                      FakeWorker m = any(w);
                      if (m != null) {
                        m.recallS = 10.0;
                        w.time.at(10_000, () -> w.take(m));
                      }
                    })),
        day(
            "machines fail every task",
            252_728_984,
            w ->
                each(
                    w,
                    15_000,
                    20_000,
                    3,
                    () -> {
                      FakeWorker m = any(w);
                      if (m != null) {
                        m.sick = true;
                      }
                    })),
        day(
            "machines come up that nobody asked for",
            -1_299_966_048,
            w -> {
              w.boot("a", false);
              each(w, 20_000, 20_000, 3, () -> w.boot("b", true));
            }),
        day(
            "two nodes can't talk, and machines can't reach one",
            305_137_649,
            w -> {
              w.time.at(
                  20_000,
                  () -> {
                    w.cut.addAll(List.of("n0>n1", "n1>n0"));
                    w.machines.keySet().forEach(m -> w.cut.add(m + ">n1"));
                  });
              w.time.at(50_000, w.cut::clear);
            }),
        day(
            "messages are lost and come late",
            -773_913_123,
            w -> {
              w.loss = 0.03;
              w.late = 0.03;
            }),
        day(
            "messages are lost and late while nodes crash and machines hang",
            -1_713_428_559,
            w -> {
              w.loss = 0.02;
              w.late = 0.02;
              each(w, 15_000, 14_000, 6, () -> crash(w, 3_000, w.random.nextInt(3)));
              each(w, 17_000, 11_000, 6, () -> hang(w, 20_000));
              w.time.at(40_000, () -> outage(w, 15_000));
            }),
        day(
            "machines report but no answer reaches them",
            -911_363_435,
            w -> each(w, 20_000, 9_000, 6, () -> deafen(w, any(w)))),
        day("copies of reports come late", 1_089_740_357, w -> w.copies = 0.3),
        day(
            "late copies while nodes crash, machines go and come back to other shards",
            871_582_134,
            w -> {
              w.copies = 0.3;
              each(w, 15_000, 17_000, 5, () -> crash(w, 3_000, w.random.nextInt(3)));
              each(w, 18_000, 8_000, 10, () -> w.take(any(w)));
              each(w, 21_000, 15_000, 5, () -> hang(w, 20_000));
            }),
        day(
            "a node has its workers but neither the state service nor the other nodes",
            -768_445_434,
            w -> {
              w.time.at(
                  25_000,
                  () -> {
                    w.store.deaf.add("n1");
                    cutOff(w, "n1", List.of("n0", "n2"));
                  });
              w.time.at(
                  85_000,
                  () -> {
                    w.store.deaf.clear();
                    w.cut.clear();
                  });
            }),
        day(
            "a node has lost its workers",
            1_684_369_254,
            w -> {
              w.time.at(25_000, () -> cutOff(w, "n1", w.machines.keySet()));
              w.time.at(70_000, w.cut::clear);
            }),
        day(
            "a node has lost all but its users",
            955_864_283,
            w -> {
              w.time.at(
                  25_000,
                  () -> {
                    w.store.deaf.add("n2");
                    cutOff(w, "n2", List.of("n0", "n1", "cloud"));
                    cutOff(w, "n2", w.machines.keySet());
                  });
              w.time.at(
                  70_000,
                  () -> {
                    w.store.deaf.clear();
                    w.cut.clear();
                  });
            }),
        day(
            "nodes refuse each other's connections, also in an outage",
            -1_558_155_905,
            w -> {
              w.time.at(
                  20_000,
                  () -> {
                    for (int a = 0; a < 3; a++) {
                      for (int b = 0; b < 3; b++) {
                        w.refused.add("n" + a + ">n" + b);
                      }
                    }
                  });
              w.time.at(30_000, () -> outage(w, 12_000));
              w.time.at(70_000, w.refused::clear);
            }),
        day(
            "a node is slow",
            -1_553_804_168,
            w -> {
              w.time.at(20_000, () -> w.slowMs[0] = 250);
              w.time.at(60_000, () -> w.slowMs[0] = 0);
            }),
        day(
            "all nodes are slow",
            -27_709_125,
            w -> {
              w.time.at(20_000, () -> Arrays.fill(w.slowMs, 250));
              w.time.at(80_000, () -> Arrays.fill(w.slowMs, 0));
            }),
        day(
            "the nodes that take over are slow",
            -931_046_021,
            w ->
                each(
                    w,
                    20_000,
                    30_000,
                    3,
                    () -> {
                      Arrays.fill(w.slowMs, 500);
                      crash(w, 9_000, w.random.nextInt(3));
                      w.time.at(20_000, () -> Arrays.fill(w.slowMs, 0));
                    })),
        day(
            "nodes stand still for longer than a lease while their clocks run on",
            -994_921_915,
            w -> {
              each(w, 20_000, 25_000, 4, () -> w.standStill(w.random.nextInt(3), 36_000));
              each(w, 18_000, 9_000, 10, () -> w.take(any(w)));
            }),
        day(
            "nodes are back at once, in the middle of an election",
            -606_780_024,
            w ->
                each(
                    w,
                    15_000,
                    11_000,
                    6,
                    () -> {
                      crash(w, 20_000, 0);
                      for (int i = 0; i < 8; i++) {
                        w.time.at(3_500 + 400 * i, () -> crash(w, 150, 1 + w.random.nextInt(2)));
                      }
                    })),
        day(
            "a copy of each report comes late, and capacity is short all day",
            -1_603_199_573,
            w -> {
              w.copies = 0.2;
              w.capacity = 4;
            }),
        day(
            "old changes are forgotten by the state service",
            1_617_094_870,
            w -> each(w, 10_000, 10_000, 10, w.store::forgetChanges)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("days")
  void keepsTheRulesAndEndsAllWork(String name, int seedBase, Consumer<SimulatedCluster> troubles) {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed * 7_919 + seedBase);
      w.begin(30, 90_000);
      w.judge.calmFromMs = 130_000;
      troubles.accept(w);
      w.time.runUntil(DAY_MS);
      assertThat(w.judge.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinished()).as("unfinished, seed %d", seed).isEmpty();
      assertThat(w.store.largestValue).as("bytes of a value").isLessThan(4096);
      // Nothing is left behind: no live records of ended jobs, no machine nobody looks after.
      assertThat(w.store.liveKeys("w/j/")).as("live jobs").isZero();
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
      w.leastRunMs = 150_000;
      w.cancelsFromMs = 25_000;
      // Enough for all teams at their limits: what is judged here is not shortage.
      w.capacity = 60;
      w.loss = 0;
      w.late = 0;
      w.begin(30, 15_000);
      int[] lapsed = new int[1];
      w.time.at(
          24_000,
          () -> {
            lapsed[0] = w.lapsed;
            List<String> here = new ArrayList<>();
            List<String> there = new ArrayList<>(List.of("users"));
            w.machines.values().forEach(m -> (m.zone.equals("b") ? here : there).add(m.name));
            for (int n = 0; n < 5; n++) {
              (n < cutOff ? here : there).add("n" + n);
            }
            if (cutOff < 5) {
              there.addAll(List.of("cloud", "state"));
              here.forEach(h -> cutOff(w, h, there));
              // Else the others would give the machines back, and their tasks would end with them.
              cutOff(w, "cloud", there);
            } else {
              w.store.outage = true;
            }
          });
      w.time.at(
          24_000 + forMs,
          () -> {
            assertThat(cutOff == 5 ? w.lapsed : 0)
                .as("leases")
                .isEqualTo(cutOff == 5 ? lapsed[0] : 0);
            w.store.recover();
            w.cut.clear();
          });
      w.judge.calmFromMs = 24_000 + forMs;
      w.time.runUntil(2 * DAY_MS);
      assertThat(w.judge.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinished()).as("unfinished, seed %d", seed).isEmpty();
    }
  }

  /** A node that its workers can't reach leaves its shard to one they can, before leases end. */
  @Test
  void leavesItsPartToANodeThatTheWorkersReach() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed, 5);
      w.loss = 0;
      w.late = 0;
      w.leastRunMs = 60_000;
      w.begin(30, 15_000);
      w.time.runUntil(30_000);
      int lapsed = w.lapsed;
      for (int n = 0; n < 300; n++) {
        w.cut.add("host-%06d>n1".formatted(n));
        w.cut.add("n1>host-%06d".formatted(n));
      }
      w.time.runUntil(75_000);
      assertThat(w.lapsed).as("leases, seed %d", seed).isEqualTo(lapsed);
      w.cut.clear();
      w.time.runUntil(DAY_MS);
      assertThat(w.judge.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinished()).as("unfinished, seed %d", seed).isEmpty();
    }
  }

  /** Jobs that fail everywhere until they are cancelled: no machine is blamed for them. */
  @Test
  void mistakenJobsHaveNoMachineQuarantined() {
    for (long seed = 1; seed <= 6; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed);
      // A machine two of whose answers in a row are lost is rightly given back as silent.
      w.loss = 0;
      w.late = 0;
      w.capacity = 12;
      w.runs = drop -> 200_000;
      w.begin(0, 1);
      for (int n = 0; n < 6; n++) {
        SimulatedUser u = new SimulatedUser(w, n, 4, null, false, false);
        w.time.at(3_000, u::submit);
      }
      List<SimulatedUser> mistaken = new ArrayList<>();
      for (int n = 6; n < 18; n++) {
        SimulatedUser u = new SimulatedUser(w, n, 5, null, false, false);
        u.mistaken = true;
        mistaken.add(u);
        w.time.at(30_000 + 1_500 * n, u::submit);
      }
      w.time.at(80_000, () -> crash(w, 8_000, 0, 1, 2));
      w.time.runUntil(25_000);
      int before = w.returned;
      w.time.runUntil(150_000);
      assertThat(w.returned).as("given back, seed %d", seed).isEqualTo(before);
      mistaken.forEach(u -> u.cancels = true);
      mistaken.forEach(SimulatedUser::cancel);
      w.time.runUntil(DAY_MS);
      assertThat(w.judge.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinished()).as("unfinished, seed %d", seed).isEmpty();
    }
  }

  /** Guests have neither a guarantee nor a limit: they are served, and starve nobody. */
  @Test
  void servesGuestsAndTheTeamsBesideThem() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed);
      w.capacity = 12;
      w.begin(0, 1);
      SimulatedUser array = new SimulatedUser(w, 1_000, "guests", 300, null, true, false);
      w.time.at(3_000, array::submit);
      for (int n = 0; n < 60; n++) {
        SimulatedUser guest = new SimulatedUser(w, 2_000 + n, "guests", 1, null, true, false);
        w.time.at(5_000 + 200 * n, guest::submit);
      }
      List<SimulatedUser> others = new ArrayList<>();
      for (int n = 0; n < 30; n++) {
        SimulatedUser u = new SimulatedUser(w, n, 1 + n % 4, null, true, false);
        others.add(u);
        w.time.at(20_000 + 3_000 * n, u::submit);
      }
      w.time.runUntil(1_200_000);
      assertThat(w.judge.violations).as("rules, seed %d", seed).isEmpty();
      assertThat(w.unfinished()).as("unfinished, seed %d", seed).isEmpty();
      for (SimulatedUser u : others) {
        assertThat(u.begunMs - u.firstSentMs).as("%s of %s", u.uid, u.team).isLessThan(60_000);
      }
    }
  }

  /** Three times more work than machines for it, for minutes: no team, size or class starves. */
  @Test
  void everyJobBeginsWithinFourMinutesWhileCapacityIsShort() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster w = new SimulatedCluster(seed);
      w.capacity = 4;
      w.begin(0, 1);
      for (int n = 0; n < 60; n++) {
        SimulatedUser u = new SimulatedUser(w, n, n % 10 == 0 ? 40 : 1 + n % 7, null, true, false);
        w.time.at(3_000 + 2_500 * n, u::submit);
      }
      w.time.runUntil(1_200_000);
      assertThat(w.judge.violations).isEmpty();
      assertThat(w.unfinished()).isEmpty();
      for (SimulatedUser u : w.users.values()) {
        assertThat(u.begunMs - u.firstSentMs)
            .as("%s of %s with %d tasks, seed %d", u.uid, u.team, u.tasks, seed)
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
    w.capacity = 4;
    w.loss = 0;
    w.late = 0;
    w.runs =
        drop ->
            drop.startsWith("wk-000000") && SimulatedCluster.task(drop) % 4 == 0 ? 300_000 : 5_000;
    w.judge.calmFromMs = 0;
    w.begin(0, 1);
    SimulatedUser first = new SimulatedUser(w, 0, 16, null, true, false);
    SimulatedUser second = new SimulatedUser(w, 1, 1, null, true, false);
    w.time.at(5_000, first::submit);
    w.time.at(60_000, second::submit);
    w.time.runUntil(DAY_MS);
    assertThat(w.unfinished()).isEmpty();
    assertThat(w.judge.violations).isEmpty();
  }

  @Test
  void givesTheSameVerdictEveryTime() {
    long[] ends = new long[2];
    for (int i = 0; i < 2; i++) {
      SimulatedCluster w = new SimulatedCluster(4);
      w.begin(10, 20_000);
      w.time.runUntil(60_000);
      ends[i] = w.store.liveKeys("") * 1_000L + w.random.nextInt(1_000);
    }
    assertThat(ends[0]).isEqualTo(ends[1]);
  }
}
