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

/** A zone is lost and returns, in virtual time: all invariants hold, and all jobs finish. */
class ZoneLossTest {
  private static final long SCENARIO_MS = 900_000;
  private static final long LOSS_MS = 40_000;

  /** Late enough to detect the loss, and before the earliest return of the zone. */
  private static final long DETECTED_MS = LOSS_MS + 14_000;

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

  private static boolean noLinkBlocked(String from, String to) {
    return false;
  }

  private static Arguments scenario(String name, int seedBase, Consumer<SimulatedCluster> faults) {
    return Arguments.of(name, seedBase, faults);
  }

  private static boolean isController(String name) {
    return name.matches("n[0-9]");
  }

  /** Blocks all messages between the machines of a zone and the controllers. */
  private static BiPredicate<String, String> zoneLinkBlocked(
      SimulatedCluster cluster, String zone) {
    return (from, to) ->
        (cluster.isInZone(from, zone) && isController(to))
            || (isController(from) && cluster.isInZone(to, zone));
  }

  static void loseZone(SimulatedCluster cluster, long fromMs, long durationMs) {
    cluster.time.schedule(fromMs, () -> cluster.linkBlocked = zoneLinkBlocked(cluster, ZONE));
    cluster.time.schedule(
        fromMs + durationMs, () -> cluster.linkBlocked = ZoneLossTest::noLinkBlocked);
  }

  static Stream<Arguments> scenarios() {
    return Stream.of(
        scenario(
            "zone lost for one minute", 111_310_758, cluster -> loseZone(cluster, LOSS_MS, 60_000)),
        scenario(
            "zone lost three times within ten minutes",
            -230_688_923,
            cluster -> {
              for (int flap = 0; flap < 3; flap++) {
                loseZone(cluster, LOSS_MS + flap * 150_000L, 40_000);
              }
            }),
        scenario(
            "zone returns while half of its jobs are being moved",
            -1_822_974_905,
            cluster -> loseZone(cluster, LOSS_MS, 17_000)),
        scenario(
            "zone lost and returning every few seconds",
            -85_299_088,
            cluster -> {
              for (int flap = 0; flap < 12; flap++) {
                loseZone(cluster, LOSS_MS + flap * 18_000L, 12_000 + flap * 500L);
              }
            }),
        scenario(
            "zone lost together with a controller",
            1_588_861_931,
            cluster -> {
              loseZone(cluster, LOSS_MS, 60_000);
              cluster.time.schedule(LOSS_MS, () -> crashControllers(cluster, 60_000, 1));
            }),
        scenario(
            "outage of the state service during evacuation",
            -2_011_724_388,
            cluster -> {
              loseZone(cluster, LOSS_MS, 60_000);
              cluster.time.schedule(LOSS_MS + 8_000, () -> stateServiceOutage(cluster, 20_000));
            }),
        scenario(
            "all controllers crash during evacuation",
            1_646_300_465,
            cluster -> {
              loseZone(cluster, LOSS_MS, 60_000);
              cluster.time.schedule(DETECTED_MS, () -> crashControllers(cluster, 3_000, 0, 1, 2));
            }),
        scenario(
            "controllers crash one after the other during the return",
            970_459_252,
            cluster -> {
              loseZone(cluster, LOSS_MS, 30_000);
              for (int i = 0; i < 3; i++) {
                int controller = i;
                cluster.time.schedule(
                    LOSS_MS + 36_000 + 6_000L * i,
                    () -> crashControllers(cluster, 2_500, controller));
              }
            }),
        scenario(
            "outage of the state service during the return",
            2_130_986_856,
            cluster -> {
              loseZone(cluster, LOSS_MS, 30_000);
              cluster.time.schedule(LOSS_MS + 37_000, () -> stateServiceOutage(cluster, 20_000));
            }),
        scenario(
            "heartbeats arrive, responses and commands do not",
            -1_215_851_440,
            cluster -> {
              cluster.time.schedule(
                  LOSS_MS,
                  () ->
                      cluster.linkBlocked =
                          (from, to) -> isController(from) && cluster.isInZone(to, ZONE));
              cluster.time.schedule(
                  LOSS_MS + 60_000, () -> cluster.linkBlocked = ZoneLossTest::noLinkBlocked);
            }),
        scenario(
            "commands arrive, heartbeats do not",
            350_871_508,
            cluster -> {
              Runnable blockRequestsOfZone =
                  () ->
                      cluster.machines.values().stream()
                          .filter(worker -> worker.zone.equals(ZONE))
                          .forEach(worker -> cluster.machinesWithBlockedRequests.add(worker.name));
              FaultInjection.repeat(cluster, LOSS_MS, 1_000, 60, blockRequestsOfZone);
              cluster.time.schedule(LOSS_MS + 60_000, cluster.machinesWithBlockedRequests::clear);
            }),
        scenario(
            "zone lost for one controller only",
            -1_364_984_541,
            cluster -> {
              BiPredicate<String, String> blockedForZone = zoneLinkBlocked(cluster, ZONE);
              cluster.time.schedule(
                  LOSS_MS,
                  () ->
                      cluster.linkBlocked =
                          (from, to) ->
                              (from.equals("n1") || to.equals("n1"))
                                  && blockedForZone.test(from, to));
              cluster.time.schedule(
                  LOSS_MS + 60_000, () -> cluster.linkBlocked = ZoneLossTest::noLinkBlocked);
            }),
        scenario(
            "the cloud has no more machines",
            -2_032_921_637,
            cluster -> {
              loseZone(cluster, LOSS_MS, 60_000);
              cluster.time.schedule(LOSS_MS, () -> cluster.cloudCapacity = 0);
            }),
        scenario(
            "all zones lost one after the other",
            -1_212_698_945,
            cluster -> {
              cluster.time.schedule(
                  LOSS_MS, () -> cluster.linkBlocked = zoneLinkBlocked(cluster, ZONE));
              cluster.time.schedule(
                  LOSS_MS + 50_000, () -> cluster.linkBlocked = zoneLinkBlocked(cluster, "a"));
              cluster.time.schedule(
                  LOSS_MS + 100_000, () -> cluster.linkBlocked = ZoneLossTest::noLinkBlocked);
            }),
        scenario(
            "delayed copies of heartbeats after the return",
            1_272_297_178,
            cluster -> {
              cluster.duplicateHeartbeatProbability = 0.3;
              cluster.maxDuplicateDelayMs = 90_000;
              loseZone(cluster, LOSS_MS, 40_000);
            }),
        scenario(
            "jobs are cancelled during evacuation",
            776_680_250,
            cluster -> {
              loseZone(cluster, LOSS_MS, 60_000);
              FaultInjection.repeat(
                  cluster, LOSS_MS + 4_000, 4_000, 4, () -> cluster.cancelRunningJobs(2, null));
            }));
  }

  static SimulatedCluster newCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.policy = parsePolicy(SETTINGS);
    cluster.additionalRunMs = 12_000;
    return cluster;
  }

  private static Policy parsePolicy(String settings) {
    try {
      return OperatorSettings.parse(settings, List.of("a", "b"));
    } catch (InvalidSettingsException e) {
      throw new AssertionError(e);
    }
  }

  private static void assertInvariantsHoldAndAllJobsComplete(SimulatedCluster cluster, long seed) {
    assertThat(cluster.invariantChecker.violations)
        .as("no invariant is violated, seed %d", seed)
        .isEmpty();
    assertThat(cluster.unfinishedJobs()).as("all jobs are finished, seed %d", seed).isEmpty();
    assertThat(cluster.stateService.largestValueBytes)
        .as("bytes of the largest stored value")
        .isLessThan(4096);
    assertThat(cluster.stateService.countKeys("w/j/")).as("remaining job records").isZero();
    assertThat(cluster.machines).as("remaining machines").isEmpty();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void preservesInvariantsAndCompletesAllJobs(
      String name, int seedBase, Consumer<SimulatedCluster> faults) {
    int lossRecords = 0;
    for (long seed = 1; seed <= 4; seed++) {
      SimulatedCluster cluster = newCluster(seed * 7_919 + seedBase);
      cluster.start(30, 90_000);
      cluster.invariantChecker.faultsEndMs = 460_000;
      faults.accept(cluster);
      cluster.time.runUntil(LOSS_MS - 1);
      assertThat(cluster.stateService.countKeys("w/z/"))
          .as("zone records before the loss")
          .isZero();
      cluster.time.runUntil(DETECTED_MS);
      lossRecords += cluster.stateService.countKeys("w/z/");
      cluster.time.runUntil(SCENARIO_MS);
      assertInvariantsHoldAndAllJobsComplete(cluster, seed);
      assertThat(cluster.stateService.countKeys("w/z/"))
          .as("zone records once the backoff has decayed")
          .isZero();
    }
    assertThat(lossRecords).as("the loss of the zone is recorded").isPositive();
  }

  /**
   * Half of a zone is unreachable: each of its machines is handled on its own, and the zone does
   * not count as lost.
   */
  @org.junit.jupiter.api.Test
  void completesAllJobsWhenHalfAZoneIsUnreachable() {
    for (long seed = 1; seed <= 4; seed++) {
      SimulatedCluster cluster = newCluster(seed);
      cluster.start(30, 90_000);
      BiPredicate<String, String> blockedForZone = zoneLinkBlocked(cluster, ZONE);
      BiPredicate<String, String> blockedForHalfZone =
          (from, to) ->
              isControllerOrEvenMachine(from)
                  && isControllerOrEvenMachine(to)
                  && blockedForZone.test(from, to);
      cluster.time.schedule(LOSS_MS, () -> cluster.linkBlocked = blockedForHalfZone);
      cluster.time.schedule(
          LOSS_MS + 60_000, () -> cluster.linkBlocked = ZoneLossTest::noLinkBlocked);
      cluster.invariantChecker.faultsEndMs = 150_000;
      cluster.time.runUntil(SCENARIO_MS);
      assertInvariantsHoldAndAllJobsComplete(cluster, seed);
    }
  }

  private static boolean isControllerOrEvenMachine(String name) {
    return isController(name) || name.charAt(name.length() - 1) % 2 == 0;
  }

  /**
   * A job that may run only in the lost zone waits, and its status gives the unreachable zone as
   * the reason.
   */
  @org.junit.jupiter.api.Test
  void reportsThatJobWaitsForUnreachableZone() {
    SimulatedCluster cluster = newCluster(3);
    cluster.lossProbability = 0;
    cluster.delayProbability = 0;
    cluster.start(24, 20_000);
    cluster.time.schedule(LOSS_MS, () -> cluster.linkBlocked = zoneLinkBlocked(cluster, ZONE));
    SimulatedUser zoneBoundUser = new SimulatedUser(cluster, 900, 2, ZONE, true, false);
    cluster.time.schedule(DETECTED_MS, zoneBoundUser::submit);
    Map<String, String> received = new java.util.HashMap<>();
    cluster.time.schedule(
        DETECTED_MS + 2_000,
        () ->
            cluster.sendRequest(
                "users",
                "n0:80",
                "GET",
                "/v1/jobs/" + zoneBoundUser.jobId,
                null,
                2_000,
                response ->
                    received.put(
                        "reason", cluster.parseJson(response.body()).path("reason").asText())));
    cluster.time.schedule(
        DETECTED_MS + 30_000, () -> cluster.linkBlocked = ZoneLossTest::noLinkBlocked);
    cluster.time.runUntil(SCENARIO_MS);
    assertThat(received).containsEntry("reason", "zone b is unreachable");
    assertInvariantsHoldAndAllJobsComplete(cluster, 3);
  }
}
