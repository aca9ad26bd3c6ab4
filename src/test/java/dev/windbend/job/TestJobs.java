package dev.windbend.job;

/** Jobs of one small task, for tests that care for little but their number and priority. */
public final class TestJobs {
  private TestJobs() {}

  /** Submitted at the time that its number says. */
  public static Job createJob(int number, Urgency urgency) {
    JobSpec spec =
        new JobSpec(
            "wk-%06d".formatted(number),
            "kind",
            "team",
            urgency,
            1,
            1,
            0,
            1,
            "image",
            1,
            null,
            null,
            false,
            false,
            true,
            10,
            0,
            0,
            null);
    return new Job(new JobRecord.Live(spec, number, false), 1, 0, 0);
  }
}
