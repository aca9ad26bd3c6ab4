package dev.windbend.job;

/**
 * An attempt to run a task on a machine. It uses capacity of the machine from the decision to place
 * it until it is confirmed terminated.
 */
public final class Placement {
  private final Job job;
  private final int task;
  private final long attempt;
  private final String machineName;

  /** The batch that stores this placement. */
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

  /** Returns the job that the task belongs to. */
  public Job job() {
    return job;
  }

  /** Returns the index of the task in its job. */
  public int task() {
    return task;
  }

  /** Returns the number of the attempt, which increases with each attempt of the task. */
  public long attempt() {
    return attempt;
  }

  /** Returns the name of the machine that the task is placed on. */
  public String machineName() {
    return machineName;
  }

  /**
   * Returns whether a previous leader made the placement. This leader never sends a start for it;
   * it waits until a heartbeat lists the task or lacks it.
   */
  public boolean inherited() {
    return inherited;
  }

  /**
   * Returns when this leader made or restored the placement, in milliseconds of the monotonic
   * clock.
   */
  public long placedMs() {
    return placedMs;
  }

  /**
   * Returns the incarnation of the worker whose heartbeat was last answered with the start; -1 if
   * no start was sent.
   */
  public long startSentIncarnation() {
    return startSentIncarnation;
  }

  /**
   * Returns the sequence number of the heartbeat that was last answered with the start; -1 if no
   * start was sent.
   */
  public long startSentSequence() {
    return startSentSequence;
  }

  /** Records that the start is sent in the response to this heartbeat. */
  public void recordStartSent(long incarnation, long sequence) {
    startSentIncarnation = incarnation;
    startSentSequence = sequence;
  }

  /** Returns whether any heartbeat has listed the attempt; no start is sent for it after that. */
  public boolean reported() {
    return reported;
  }

  /** Records that a heartbeat lists the attempt. */
  public void recordReported() {
    reported = true;
  }

  /**
   * Returns since when the task runs with its image present, in milliseconds of the monotonic
   * clock; -1 if it does not run yet.
   */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** Records since when the task runs with its image present (monotonic clock, milliseconds). */
  public void recordRunning(long sinceMs) {
    runningSinceMs = sinceMs;
  }

  /**
   * Returns how many seconds the task may use to save its state before it is stopped; -1 if no stop
   * is requested.
   */
  public double stopGraceS() {
    return stopGraceS;
  }

  /** Returns the name of the task: the job id, a slash and the index of the task. */
  public String taskName() {
    return job.spec().uid() + "/" + task;
  }

  /** Returns whether a stop of the attempt is requested. */
  public boolean stopRequested() {
    return stopGraceS >= 0;
  }

  /**
   * Requests a stop of the attempt. A later request can only shorten the grace period.
   *
   * @param graceS seconds that the task may use to save its state; 0 to stop it at once
   */
  public void requestStop(double graceS) {
    if (stopGraceS < 0 || graceS < stopGraceS) {
      stopGraceS = graceS;
    }
  }
}
