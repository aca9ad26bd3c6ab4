package dev.windbend.machine;

import dev.windbend.job.Placement;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A machine of the shard, in the view of its leader. It is requested by a {@link ScaleOutRequest}
 * and added to that request once granted. It may be in several of the following states at once,
 * except that it is first in service, then terminating, then terminated:
 *
 * <table>
 *   <caption>States of a machine</caption>
 *   <tr><th>State</th><th>Condition</th><th>Ends with</th></tr>
 *   <tr><td>booting</td><td>{@link #lastHeartbeatMs} is -1</td><td>its first heartbeat</td></tr>
 *   <tr><td>not recorded</td><td>not {@link #recorded}</td>
 *     <td>the write of its record; never, once it is being transferred</td></tr>
 *   <tr><td>unconfirmed</td><td>not {@link #confirmedUnderToken}</td>
 *     <td>a heartbeat under the leader's token</td></tr>
 *   <tr><td>missing responses</td><td>{@link WorkerLiveness#missedResponses} above 0</td>
 *     <td>a heartbeat without a missed response</td></tr>
 *   <tr><td>refusing starts</td><td>{@link #startsRefusedUntilMs} is in the future</td>
 *     <td>that time</td></tr>
 *   <tr><td>zone closed</td><td>{@link #zoneClosed}</td>
 *     <td>its zone is open for new tasks on it</td></tr>
 *   <tr><td>cordoned</td><td>{@link #cordoned}</td><td>never</td></tr>
 *   <tr><td>recalled</td><td>{@link #recallAtMs} not -1; also cordoned</td><td>never</td></tr>
 *   <tr><td>reserved</td><td>{@link #reservedForShard} not -1; also cordoned</td><td>never</td></tr>
 *   <tr><td>evicting</td><td>{@link #evictAtMs} not -1; also reserved</td><td>never</td></tr>
 *   <tr><td>terminating</td><td>{@link #terminating}</td><td>never</td></tr>
 *   <tr><td>terminated</td><td>{@link #terminated}; also terminating</td><td>never</td></tr>
 * </table>
 *
 * <p>A machine in any of these states gets no new tasks. {@link #usable} checks all of them except
 * missed responses, which the scheduling loop checks itself.
 */
public final class Machine {
  private final String name;
  private final MachineType type;
  private final int zone;
  private final boolean spot;
  private final long requestedMs;
  private final WorkerLiveness liveness = new WorkerLiveness();
  private Service service = Service.IN_SERVICE;
  private long recallAtMs = -1;
  private boolean cordoned;
  private boolean zoneClosed;
  private final IntOpenHashSet images = new IntOpenHashSet();
  private final Set<String> failedJobs = new HashSet<>();
  private long startsRefusedUntilMs;
  private boolean inherited;
  private int reservedForShard = -1;
  private long evictAtMs = -1;

  /** The request whose record names this machine. */
  final ScaleOutRequest request;

  private boolean recordWriteInProgress;

  private boolean recordWritten;

  /** Whether a transfer to another shard has started. */
  private boolean transferStarted;

  /** Tasks placed on it since it was added to this shard. */
  private final MachineTasks tasks;

  /** Stages of a machine's life, passed in this order. */
  private enum Service {
    IN_SERVICE,
    TERMINATING,
    TERMINATED
  }

  Machine(String name, ScaleOutRequest request, long requestedMs, long nowMs) {
    this.name = name;
    this.request = request;
    this.type = request.type;
    this.zone = request.zone;
    this.spot = request.record.spot();
    this.requestedMs = requestedMs;
    this.tasks = new MachineTasks(type, nowMs);
  }

  /** Name assigned by the cloud. */
  public String name() {
    return name;
  }

  /** Its machine type, with the prices at the time when this leader added its request. */
  public MachineType type() {
    return type;
  }

  /** Dense index of its zone. */
  public int zone() {
    return zone;
  }

  /** Whether it is a spot instance. */
  public boolean spot() {
    return spot;
  }

  /** When it was requested, or added from an existing record (monotonic clock, ms). */
  public long requestedMs() {
    return requestedMs;
  }

  /** State of its worker according to the worker's heartbeats. */
  public WorkerLiveness liveness() {
    return liveness;
  }

  /** When the newest heartbeat arrived (monotonic clock, ms); -1: none yet. */
  public long lastHeartbeatMs() {
    return liveness.lastHeartbeatMs();
  }

  /** Whether its newest heartbeat carried the leader's token, so that its task list is complete. */
  public boolean confirmedUnderToken() {
    return liveness.confirmedUnderToken();
  }

  /** When the cloud recalls it (monotonic clock, ms); -1: not announced. */
  public long recallAtMs() {
    return recallAtMs;
  }

  /** Records that the cloud announced a recall for this time (monotonic clock, ms). */
  public void recordRecall(long atMs) {
    recallAtMs = atMs;
    cordoned = true;
  }

  /** Whether it gets no new tasks and leaves the shard once it is empty. */
  public boolean cordoned() {
    return cordoned;
  }

  /** Stops the placement of new tasks on it; it leaves the shard once it is empty. */
  public void cordon() {
    cordoned = true;
  }

  /**
   * Whether it gets no new tasks because its zone is unreachable, or recovering and still closed.
   */
  public boolean zoneClosed() {
    return zoneClosed;
  }

  /** Sets whether its zone is open for new tasks on it. */
  public void setZoneOpen(boolean open) {
    zoneClosed = !open;
  }

  /** Whether it is being returned to the cloud, or its termination is already confirmed. */
  public boolean terminating() {
    return service != Service.IN_SERVICE;
  }

  /** Marks it as being returned to the cloud. */
  void beginTermination() {
    service = Service.TERMINATING;
  }

  /** Whether the cloud has confirmed its termination. */
  public boolean terminated() {
    return service == Service.TERMINATED;
  }

  /** Records that the cloud has confirmed its termination. */
  void recordTermination() {
    service = Service.TERMINATED;
  }

  /** Images used on it so far, by dense index. A view: only {@link #recordImage} changes it. */
  public IntOpenHashSet images() {
    return images;
  }

  /** Records that an image, given by dense index, is in use on it. */
  public void recordImage(int index) {
    images.add(index);
  }

  /**
   * Tasks that occupy resources of this machine, by name, in the order they were placed. A view:
   * only {@link #add} and {@link #remove} change it.
   */
  public Map<String, Placement> tasks() {
    return tasks.byName();
  }

  /** Counts the jobs with failures on it since its last successful task that match the filter. */
  public long countFailedJobs(Predicate<String> uidFilter) {
    return failedJobs.stream().filter(uidFilter).count();
  }

  /** Records that a task of this job failed on it. */
  public void recordFailedJob(String uid) {
    failedJobs.add(uid);
  }

  /** Discards the recorded failure of this job. */
  public void forgetFailedJob(String uid) {
    failedJobs.remove(uid);
  }

  /** Discards all recorded failures, after a task has succeeded on it. */
  public void clearFailedJobs() {
    failedJobs.clear();
  }

  /** Since when it has had no tasks (monotonic clock, ms); -1: it has tasks. */
  public long idleSinceMs() {
    return tasks.idleSinceMs();
  }

  /** Time before which it gets no new tasks, because it refused a start (monotonic clock, ms). */
  public long startsRefusedUntilMs() {
    return startsRefusedUntilMs;
  }

  /**
   * Records a start refused for lack of capacity: no new tasks until then (monotonic clock, ms).
   */
  public void refuseStartsUntil(long untilMs) {
    startsRefusedUntilMs = untilMs;
  }

  /** The shard to which it is transferred once it is empty; -1: none. */
  public int reservedForShard() {
    return reservedForShard;
  }

  /** Cordons it and reserves it for transfer to this shard once it is empty. */
  public void reserveForShard(int shard) {
    reservedForShard = shard;
    cordoned = true;
  }

  /** Time from which its tasks are evicted (monotonic clock, ms); -1: they run to completion. */
  public long evictAtMs() {
    return evictAtMs;
  }

  /** Schedules the eviction of tasks that are still on it at this time (monotonic clock, ms). */
  public void evictAt(long atMs) {
    evictAtMs = atMs;
  }

  /** Whether it was inherited from a previous leader of the shard. */
  public boolean inherited() {
    return inherited;
  }

  /** Sets whether its record was written by a previous leader of the shard. */
  void setInherited(boolean fromPreviousLeader) {
    inherited = fromPreviousLeader;
  }

  /** Name of its zone. */
  public String zoneName() {
    return request.record.zone();
  }

  /** Whether it came to this shard by a transfer or as an orphaned machine. */
  public boolean receivedByTransfer() {
    return request.fence > 0;
  }

  /** Cores that are not requested by any task on it. */
  public double freeCores() {
    return tasks.freeCores();
  }

  /** Whether these resources are free for one more task in addition to those on it. */
  boolean hasCapacityFor(double cores, double gpus, double memoryGb) {
    return tasks.hasCapacityFor(cores, gpus, memoryGb);
  }

  /**
   * How many more tasks its worker's heartbeat can list, see {@link HeartbeatTaskLimit}. Negative
   * if a controller without this limit has placed more tasks.
   */
  public int freeTaskSlots() {
    return tasks.freeTaskSlots();
  }

  /**
   * Whether it gets no more tasks, or no more small ones, because of {@link HeartbeatTaskLimit}.
   */
  public boolean atTaskLimit() {
    return tasks.freeTaskSlots() <= 0 || tasks.freeSmallTaskSlots() <= 0;
  }

  /**
   * Sets how many tasks the worker's newest heartbeat lists that are not placed on the machine:
   * most of them have exited, and their exit is not acknowledged yet.
   */
  public void setUnplacedTasks(int count) {
    tasks.setUnplacedTasks(count);
  }

  /** Starts a new time window for the minimum of free cores. */
  public void beginFreeCapacityWindow() {
    tasks.beginFreeCapacityWindow();
  }

  /** Cores that have been free throughout the current and the previous time window. */
  public double sustainedFreeCores() {
    return tasks.sustainedFreeCores();
  }

  /**
   * The fencing token for commands to this machine. It is never lower than the leader's token and,
   * if the machine was transferred to this shard, higher than the token of the sending shard.
   */
  public long token(long leaderToken) {
    return Math.max(leaderToken, request.fence);
  }

  /** Whether a write of the record that names it is in flight. */
  boolean recordWriteInProgress() {
    return recordWriteInProgress;
  }

  /** Marks a write of the record that names it as in flight. */
  void beginRecordWrite() {
    recordWriteInProgress = true;
  }

  /** Records that the write of the record that names it failed. */
  void recordWriteFailed() {
    recordWriteInProgress = false;
  }

  /** Marks the record that names it as stored. */
  void completeRecordWrite() {
    recordWriteInProgress = false;
    recordWritten = true;
  }

  /** Starts the transfer to another shard; this shard stops using it immediately. */
  void beginTransfer() {
    transferStarted = true;
  }

  /**
   * Whether a stored record assigns the machine to this shard, so that it may be used. Without the
   * record, the next leader would not find the machine, would consider its tasks terminated and
   * would start them a second time.
   */
  public boolean recorded() {
    return recordWritten && !transferStarted;
  }

  /**
   * Whether new tasks may be placed on it. Missed responses are not taken into account.
   *
   * @param nowMs monotonic clock
   */
  public boolean usable(long nowMs) {
    return recorded()
        && confirmedUnderToken()
        && !cordoned
        && !zoneClosed
        && service == Service.IN_SERVICE
        && nowMs >= startsRefusedUntilMs;
  }

  /**
   * Whether it may be transferred while idle. A machine that was transferred to this shard and has
   * run no task here may not: shards that all lack machines of another kind would transfer it among
   * themselves endlessly, and the cloud could not reallocate its capacity to the kind they need.
   */
  public boolean mayBeTransferred() {
    return tasks.everUsed() || request.fence == 0;
  }

  /** Adds a task that has been placed on it. */
  public void add(Placement placement) {
    tasks.add(placement);
  }

  /** Removes a task that is confirmed terminated. */
  public void remove(Placement placement, long nowMs) {
    tasks.remove(placement, nowMs);
  }
}
