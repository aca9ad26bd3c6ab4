package dev.windbend.job;

/** Creates jobs of small tasks for tests that depend only on the number and priority of jobs. */
public final class TestJobs {
  private TestJobs() {}

  /** Creates a job whose submission time in milliseconds is its number. */
  public static Job createJob(int number, Urgency urgency) {
    return createArray(number, urgency, 1);
  }

  /** Places the task with this index, with a placement that is stored already. */
  public static Placement placeRecorded(Job job, int task, String machine) {
    Placement placement = job.place(task, machine, 0, 1, 1);
    placement.batch.markRestored();
    return placement;
  }

  /** Creates a job of several tasks. */
  public static Job createArray(int number, Urgency urgency, int tasks) {
    JobSpec spec =
        new JobSpec(
            "wk-%06d".formatted(number),
            "kind",
            "team",
            urgency,
            tasks,
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
