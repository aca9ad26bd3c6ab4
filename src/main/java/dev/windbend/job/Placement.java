package dev.windbend.job;

/**
 * One attempt of a task on a machine. It counts as being there from the moment it is decided until
 * it is proved gone.
 */
public final class Placement {
  private final Job job;
  private final int task;
  private final long attempt;
  private final String machineName;

  /** With what it is on record. */
  final PlacementBatch batch;

  private final boolean inherited;
  private final long placedMs;
  private long startSentIncarnation = -1;
  private long startSentSequence = -1;
  private boolean reported;
  private long runningSinceMs = -1;
  private double stopGraceS = -1;

  Placement(
      Job job,
      int task,
      long attempt,
      String machineName,
      PlacementBatch batch,
      boolean inherited,
      long placedMs) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machineName = machineName;
    this.batch = batch;
    this.inherited = inherited;
    this.placedMs = placedMs;
  }

  /** The job whose task it is. */
  public Job job() {
    return job;
  }

  /** Index of the task in its job. */
  public int task() {
    return task;
  }

  /** Number of the attempt, which only grows for a task. */
  public long attempt() {
    return attempt;
  }

  /** Name of the machine it is placed on. */
  public String machineName() {
    return machineName;
  }

  /** Taken over from a former owner: never started again, only found or found missing. */
  public boolean inherited() {
    return inherited;
  }

  /** When it was decided, or taken over from a former owner (steady clock, ms). */
  public long placedMs() {
    return placedMs;
  }

  /** Incarnation of the agent whose heartbeat the start last answered; -1: not sent. */
  public long startSentIncarnation() {
    return startSentIncarnation;
  }

  /** Sequence number of the heartbeat that the start last answered; -1: not sent. */
  public long startSentSequence() {
    return startSentSequence;
  }

  /** The start goes out in the response to this heartbeat. */
  public void recordStartSent(long incarnation, long sequence) {
    startSentIncarnation = incarnation;
    startSentSequence = sequence;
  }

  /** Some heartbeat showed it; it is never started again. */
  public boolean reported() {
    return reported;
  }

  /** A heartbeat shows it. */
  public void recordReported() {
    reported = true;
  }

  /** Since when it has its image and runs (steady clock, ms); -1: it does not run yet. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** It has its image and runs since this time (steady clock, ms). */
  public void recordRunning(long sinceMs) {
    runningSinceMs = sinceMs;
  }

  /** Seconds it may use to save before it is stopped; -1: it is not to be stopped. */
  public double stopGraceS() {
    return stopGraceS;
  }

  public String taskName() {
    return job.spec().uid() + "/" + task;
  }

  public boolean stopRequested() {
    return stopGraceS >= 0;
  }

  /** Asks it to go; a stricter wish replaces a milder one. */
  public void requestStop(double graceS) {
    if (stopGraceS < 0 || graceS < stopGraceS) {
      stopGraceS = graceS;
    }
  }
}
