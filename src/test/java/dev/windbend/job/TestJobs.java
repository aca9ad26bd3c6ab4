package dev.windbend.job;

/** Creates jobs of one small task for tests that depend only on the number and priority of jobs. */
public final class TestJobs {
  private TestJobs() {}

  /** Creates a job whose submission time in milliseconds is its number. */
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
