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
 * Wrote {@code stored-day.json}: a cluster in the middle of a day on which a zone is lost, at the
 * first moment at which it holds records of every kind. Not a test, and not to be run again for it:
 * the file stands for data that earlier releases have left in the state service. The one argument
 * is a file that must not exist yet.
 */
final class StoredDataWriter {
  static final long LEAST_RUN_MS = 12_000;
  private static final long LOST_MS = 40_000;
  private static final long LOST_FOR_MS = 60_000;
  private static final long STEP_MS = 50;
  private static final int SEEDS = 400;

  private StoredDataWriter() {}

  public static void main(String[] arguments) throws IOException {
    Path file = Path.of(arguments[0]);
    if (Files.exists(file)) {
      throw new IOException(file + " is there and stays as it is");
    }
    for (long seed = 1; seed <= SEEDS; seed++) {
      ObjectNode saved = day(seed);
      if (saved != null) {
        System.out.printf("seed %d, %s%n", seed, StoredDay.count(saved));
        ObjectWriter writer = FakeStateService.JSON.writerWithDefaultPrettyPrinter();
        Files.writeString(
            file, writer.writeValueAsString(saved) + "\n", StandardOpenOption.CREATE_NEW);
        return;
      }
    }
    throw new IllegalStateException("no such moment");
  }

  /** A cluster to be loaded with, or to come to, such a moment. */
  static SimulatedCluster cluster(long seed) {
    SimulatedCluster w = new SimulatedCluster(seed);
    try {
      w.policy = OperatorSettings.parse(ZoneLossTest.SETTINGS, List.of("a", "b"));
    } catch (InvalidSettingsException e) {
      throw new AssertionError(e);
    }
    w.additionalRunMs = LEAST_RUN_MS;
    return w;
  }

  /** Null: it never holds records of every kind at once. */
  private static ObjectNode day(long seed) {
    SimulatedCluster w = cluster(seed);
    w.cloudCapacity = 24;
    w.start(40, 70_000);
    w.users.values().stream().filter(u -> u.taskCount % 3 == 0).forEach(u -> u.machineType = "t4");
    ZoneLossTest.loseZone(w, LOST_MS, LOST_FOR_MS);
    w.time.runUntil(LOST_MS);
    FaultInjection.repeat(
        w, 0, 1_000, (int) (LOST_FOR_MS / 1_000), () -> w.cancelRunningJobs(1, null));
    for (long now = LOST_MS; now < LOST_MS + LOST_FOR_MS; now += STEP_MS) {
      w.time.runUntil(now);
      if (w.stateService.countKeys("w/z/") == 0) {
        continue;
      }
      ObjectNode saved = w.save();
      Map<StoredDay.Kind, Integer> counts = StoredDay.count(saved);
      if (!counts.containsValue(0)) {
        return saved;
      }
    }
    return null;
  }
}
