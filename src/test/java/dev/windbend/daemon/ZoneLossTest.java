package dev.windbend.daemon;

import static dev.windbend.daemon.FaultInjection.crashControllers;
import static dev.windbend.daemon.FaultInjection.stateServiceOutage;
import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.shard.Policy;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Days in virtual time on which a zone is lost and returns: no rule breaks, and all work ends. */
class ZoneLossTest {
  private static final long DAY_MS = 900_000;
  private static final long LOST_MS = 40_000;

  /** Well after the loss, and before the shortest return. */
  private static final long SEEN_MS = LOST_MS + 14_000;

  static final String ZONE = "b";

  static final String SETTINGS =
      """
      [zone]
      enabled = true
      lost_after_s = 3
      return_after_s = 3
      backoff_s = 15
      longest_backoff_s = 60
      decay_s = 120
      return_per_s = 1
      widen_s = 5
      """;

  private static boolean uncut(String from, String to) {
    return false;
  }

  private static Arguments day(String name, int seedBase, Consumer<SimulatedCluster> troubles) {
    return Arguments.of(name, seedBase, troubles);
  }

  private static boolean node(String name) {
    return name.matches("n[0-9]");
  }

  /** Machines of the zone and controllers hear nothing of each other. */
  private static BiPredicate<String, String> cutOff(SimulatedCluster w, String zone) {
    return (from, to) ->
        (w.isInZone(from, zone) && node(to)) || (node(from) && w.isInZone(to, zone));
  }

  static void lose(SimulatedCluster w, long fromMs, long forMs) {
    w.time.schedule(fromMs, () -> w.linkBlocked = cutOff(w, ZONE));
    w.time.schedule(fromMs + forMs, () -> w.linkBlocked = ZoneLossTest::uncut);
  }

  static Stream<Arguments> days() {
    return Stream.of(
        day("lost for a minute", 111_310_758, w -> lose(w, LOST_MS, 60_000)),
        day(
            "three flaps in ten minutes",
            -230_688_923,
            w -> {
              for (int flap = 0; flap < 3; flap++) {
                lose(w, LOST_MS + flap * 150_000L, 40_000);
              }
            }),
        day(
            "back while half of its jobs are on the move",
            -1_822_974_905,
            w -> lose(w, LOST_MS, 17_000)),
        day(
            "flaps every few seconds",
            -85_299_088,
            w -> {
              for (int flap = 0; flap < 12; flap++) {
                lose(w, LOST_MS + flap * 18_000L, 12_000 + flap * 500L);
              }
            }),
        day(
            "lost together with a controller",
            1_588_861_931,
            w -> {
              lose(w, LOST_MS, 60_000);
              w.time.schedule(LOST_MS, () -> crashControllers(w, 60_000, 1));
            }),
        day(
            "an outage of the state service during evacuation",
            -2_011_724_388,
            w -> {
              lose(w, LOST_MS, 60_000);
              w.time.schedule(LOST_MS + 8_000, () -> stateServiceOutage(w, 20_000));
            }),
        day(
            "all controllers crash during evacuation",
            1_646_300_465,
            w -> {
              lose(w, LOST_MS, 60_000);
              w.time.schedule(SEEN_MS, () -> crashControllers(w, 3_000, 0, 1, 2));
            }),
        day(
            "controllers crash in turn during the return",
            970_459_252,
            w -> {
              lose(w, LOST_MS, 30_000);
              for (int i = 0; i < 3; i++) {
                int n = i;
                w.time.schedule(LOST_MS + 36_000 + 6_000L * i, () -> crashControllers(w, 2_500, n));
              }
            }),
        day(
            "an outage of the state service during the return",
            2_130_986_856,
            w -> {
              lose(w, LOST_MS, 30_000);
              w.time.schedule(LOST_MS + 37_000, () -> stateServiceOutage(w, 20_000));
            }),
        day(
            "its reports arrive, answers and commands don't",
            -1_215_851_440,
            w -> {
              w.time.schedule(
                  LOST_MS, () -> w.linkBlocked = (from, to) -> node(from) && w.isInZone(to, ZONE));
              w.time.schedule(LOST_MS + 60_000, () -> w.linkBlocked = ZoneLossTest::uncut);
            }),
        day(
            "commands arrive, its reports don't",
            350_871_508,
            w -> {
              Runnable mute =
                  () ->
                      w.machines.values().stream()
                          .filter(m -> m.zone.equals(ZONE))
                          .forEach(m -> w.machinesWithBlockedRequests.add(m.name));
              FaultInjection.repeat(w, LOST_MS, 1_000, 60, mute);
              w.time.schedule(LOST_MS + 60_000, w.machinesWithBlockedRequests::clear);
            }),
        day(
            "lost for one controller only",
            -1_364_984_541,
            w -> {
              BiPredicate<String, String> whole = cutOff(w, ZONE);
              w.time.schedule(
                  LOST_MS,
                  () ->
                      w.linkBlocked =
                          (from, to) ->
                              (from.equals("n1") || to.equals("n1")) && whole.test(from, to));
              w.time.schedule(LOST_MS + 60_000, () -> w.linkBlocked = ZoneLossTest::uncut);
            }),
        day(
            "the cloud has nothing elsewhere",
            -2_032_921_637,
            w -> {
              lose(w, LOST_MS, 60_000);
              w.time.schedule(LOST_MS, () -> w.cloudCapacity = 0);
            }),
        day(
            "all zones lost one after the other",
            -1_212_698_945,
            w -> {
              w.time.schedule(LOST_MS, () -> w.linkBlocked = cutOff(w, ZONE));
              w.time.schedule(LOST_MS + 50_000, () -> w.linkBlocked = cutOff(w, "a"));
              w.time.schedule(LOST_MS + 100_000, () -> w.linkBlocked = ZoneLossTest::uncut);
            }),
        day(
            "late copies of reports after the return",
            1_272_297_178,
            w -> {
              w.duplicateHeartbeatProbability = 0.3;
              w.maxDuplicateDelayMs = 90_000;
              lose(w, LOST_MS, 40_000);
            }),
        day(
            "jobs are cancelled during the move",
            776_680_250,
            w -> {
              lose(w, LOST_MS, 60_000);
              FaultInjection.repeat(
                  w, LOST_MS + 4_000, 4_000, 4, () -> w.cancelRunningJobs(2, null));
            }));
  }

  static SimulatedCluster cluster(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed);
    w.policy = policy(SETTINGS);
    w.additionalRunMs = 12_000;
    return w;
  }

  private static Policy policy(String settings) {
    try {
      return OperatorSettings.parse(settings, List.of("a", "b"));
    } catch (InvalidSettingsException e) {
      throw new AssertionError(e);
    }
  }

  private static void keepsTheRules(SimulatedCluster w, long seed) {
    assertThat(w.invariantChecker.violations).as("rules, seed %d", seed).isEmpty();
    assertThat(w.unfinishedJobs()).as("unfinished, seed %d", seed).isEmpty();
    assertThat(w.stateService.largestValueBytes).as("bytes of a value").isLessThan(4096);
    assertThat(w.stateService.countKeys("w/j/")).as("live jobs").isZero();
    assertThat(w.machines).as("machines").isEmpty();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("days")
  void keepsTheRulesAndEndsAllWork(String name, int seedBase, Consumer<SimulatedCluster> troubles) {
    int noticed = 0;
    for (long seed = 1; seed <= 4; seed++) {
      SimulatedCluster w = cluster(seed * 7_919 + seedBase);
      w.start(30, 90_000);
      w.invariantChecker.faultsEndMs = 460_000;
      troubles.accept(w);
      w.time.runUntil(LOST_MS - 1);
      assertThat(w.stateService.countKeys("w/z/")).as("records while all is well").isZero();
      w.time.runUntil(SEEN_MS);
      noticed += w.stateService.countKeys("w/z/");
      w.time.runUntil(DAY_MS);
      keepsTheRules(w, seed);
      assertThat(w.stateService.countKeys("w/z/"))
          .as("records once the backoff has decayed")
          .isZero();
    }
    assertThat(noticed).as("losses on record").isPositive();
  }

  /** Half of a zone: its machines are judged one by one, and the zone is not given up. */
  @org.junit.jupiter.api.Test
  void halfAZoneLostIsNoLostZone() {
    for (long seed = 1; seed <= 4; seed++) {
      SimulatedCluster w = cluster(seed);
      w.start(30, 90_000);
      BiPredicate<String, String> whole = cutOff(w, ZONE);
      BiPredicate<String, String> half =
          (from, to) -> even(from) && even(to) && whole.test(from, to);
      w.time.schedule(LOST_MS, () -> w.linkBlocked = half);
      w.time.schedule(LOST_MS + 60_000, () -> w.linkBlocked = ZoneLossTest::uncut);
      w.invariantChecker.faultsEndMs = 150_000;
      w.time.runUntil(DAY_MS);
      keepsTheRules(w, seed);
    }
  }

  private static boolean even(String name) {
    return node(name) || name.charAt(name.length() - 1) % 2 == 0;
  }

  /** Jobs that may run in the lost zone only wait, and their users are told what for. */
  @org.junit.jupiter.api.Test
  void usersAreToldThatAJobWaitsForItsZone() {
    SimulatedCluster w = cluster(3);
    w.lossProbability = 0;
    w.delayProbability = 0;
    w.start(24, 20_000);
    w.time.schedule(LOST_MS, () -> w.linkBlocked = cutOff(w, ZONE));
    SimulatedUser bound = new SimulatedUser(w, 900, 2, ZONE, true, false);
    w.time.schedule(SEEN_MS, bound::submit);
    Map<String, String> heard = new java.util.HashMap<>();
    w.time.schedule(
        SEEN_MS + 2_000,
        () ->
            w.sendRequest(
                "users",
                "n0:80",
                "GET",
                "/v1/jobs/" + bound.jobId,
                null,
                2_000,
                r -> heard.put("reason", w.parseJson(r.body()).path("reason").asText())));
    w.time.schedule(SEEN_MS + 30_000, () -> w.linkBlocked = ZoneLossTest::uncut);
    w.time.runUntil(DAY_MS);
    assertThat(heard).containsEntry("reason", "zone b is unreachable");
    keepsTheRules(w, 3);
  }
}
