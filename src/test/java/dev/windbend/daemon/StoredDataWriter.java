package dev.windbend.daemon;

import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;

/**
 * Wrote {@code stored-day.json}, the saved state of a simulated cluster during the loss of a zone,
 * at the first time at which the cluster holds records of every kind. The file represents data that
 * an earlier release left in the state service, so it must not be written again with a later
 * release. The only argument is the path of the output file, which must not exist yet.
 */
final class StoredDataWriter {
  static final long ADDITIONAL_RUN_TIME_MS = 12_000;
  private static final long ZONE_LOSS_START_MS = 40_000;
  private static final long ZONE_LOSS_DURATION_MS = 60_000;
  private static final long STEP_MS = 50;
  private static final int MAX_SEED = 400;

  private StoredDataWriter() {}

  public static void main(String[] arguments) throws IOException {
    Path file = Path.of(arguments[0]);
    if (Files.exists(file)) {
      throw new IOException(file + " already exists and is not overwritten");
    }
    for (long seed = 1; seed <= MAX_SEED; seed++) {
      ObjectNode saved = runScenario(seed);
      if (saved != null) {
        System.out.printf("seed %d, %s%n", seed, StoredDay.count(saved));
        ObjectWriter writer = FakeStateService.JSON.writerWithDefaultPrettyPrinter();
        Files.writeString(
            file, writer.writeValueAsString(saved) + "\n", StandardOpenOption.CREATE_NEW);
        return;
      }
    }
    throw new IllegalStateException("no seed gives a cluster with records of every kind");
  }

  /** Creates the cluster that is to be saved, or into which the saved state is to be loaded. */
  static SimulatedCluster newCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    try {
      cluster.policy = OperatorSettings.parse(ZoneLossTest.SETTINGS, List.of("a", "b"));
    } catch (InvalidSettingsException e) {
      throw new AssertionError(e);
    }
    cluster.additionalRunMs = ADDITIONAL_RUN_TIME_MS;
    return cluster;
  }

  /** Returns the saved cluster, or null if it never holds records of every kind at once. */
  private static ObjectNode runScenario(long seed) {
    SimulatedCluster cluster = newCluster(seed);
    cluster.cloudCapacity = 24;
    cluster.start(40, 70_000);
    cluster.users.values().stream()
        .filter(u -> u.taskCount % 3 == 0)
        .forEach(u -> u.machineType = "t4");
    ZoneLossTest.loseZone(cluster, ZONE_LOSS_START_MS, ZONE_LOSS_DURATION_MS);
    cluster.time.runUntil(ZONE_LOSS_START_MS);
    FaultInjection.repeat(
        cluster,
        0,
        1_000,
        (int) (ZONE_LOSS_DURATION_MS / 1_000),
        () -> cluster.cancelRunningJobs(1, null));
    for (long nowMs = ZONE_LOSS_START_MS;
        nowMs < ZONE_LOSS_START_MS + ZONE_LOSS_DURATION_MS;
        nowMs += STEP_MS) {
      cluster.time.runUntil(nowMs);
      if (cluster.stateService.countKeys("w/z/") == 0) {
        continue;
      }
      ObjectNode saved = cluster.save();
      Map<StoredDay.Kind, Integer> counts = StoredDay.count(saved);
      if (!counts.containsValue(0)) {
        return saved;
      }
    }
    return null;
  }
}
