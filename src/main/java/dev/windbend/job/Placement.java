package dev.windbend.job;

/**
 * One attempt of a task on a machine. It counts as being there from the moment it is decided until
 * it is proved gone.
 */
public final class Placement {
  public final Job job;
  public final int task;
  public final long attempt;
  public final String machine;

  /** With what it is on record. */
  final PlacementBatch batch;

  /** Taken over from a former owner: never started again, only found or found missing. */
  public final boolean inherited;

  public final long placedMs;

  /** The report in whose response the start last went out. */
  public long sentShift = -1;

  public long sentTally = -1;

  /** Some report showed it; it is never started again. */
  public boolean seen;

  /** Has its image and runs since this time, -1 before. */
  public long runningMs = -1;

  /** Must go, and how: -1 no; else the seconds it may use to save. */
  public double stopGraceS = -1;

  public boolean flushing;

  Placement(
      Job job,
      int task,
      long attempt,
      String machine,
      PlacementBatch batch,
      boolean inherited,
      long placedMs) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.batch = batch;
    this.inherited = inherited;
    this.placedMs = placedMs;
  }

  public String taskName() {
    return job.spec.uid() + "/" + task;
  }

  public boolean stopping() {
    return stopGraceS >= 0;
  }

  /** Asks it to go; a stricter wish replaces a milder one. */
  public void stop(double graceS) {
    if (stopGraceS < 0 || graceS < stopGraceS) {
      stopGraceS = graceS;
    }
  }
}
