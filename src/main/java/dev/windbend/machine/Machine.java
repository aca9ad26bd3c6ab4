package dev.windbend.machine;

import dev.windbend.job.Placement;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A machine of the shard, as its leader knows it. It is requested as a {@link ScaleOutRequest},
 * which it joins once granted. Its state is told by these, which do not exclude each other, except
 * that in service, returning and gone follow one another:
 *
 * <table>
 *   <caption>States of a machine</caption>
 *   <tr><th>State</th><th>Told by</th><th>Ends with</th></tr>
 *   <tr><td>booting</td><td>{@link #lastHeartbeatMs} is -1</td><td>its first heartbeat</td></tr>
 *   <tr><td>not recorded</td><td>not {@link #recorded}</td>
 *     <td>the write of its record; never, once another shard gets it</td></tr>
 *   <tr><td>unconfirmed</td><td>not {@link #confirmedUnderToken}</td>
 *     <td>a heartbeat under our token</td></tr>
 *   <tr><td>missing responses</td><td>{@link WorkerLiveness#missedResponses} above 0</td>
 *     <td>a heartbeat without a missed response</td></tr>
 *   <tr><td>refusing starts</td><td>{@link #startsRefusedUntilMs} lies ahead</td>
 *     <td>that time</td></tr>
 *   <tr><td>zone closed</td><td>{@link #zoneClosed}</td><td>its zone being open for it</td></tr>
 *   <tr><td>cordoned</td><td>{@link #cordoned}</td><td>never</td></tr>
 *   <tr><td>recalled</td><td>{@link #recallAtMs} not -1; also cordoned</td><td>never</td></tr>
 *   <tr><td>promised</td><td>{@link #reservedForShard} not -1; also cordoned</td><td>never</td></tr>
 *   <tr><td>evicting</td><td>{@link #evictAtMs} not -1; also promised</td><td>never</td></tr>
 *   <tr><td>returning</td><td>{@link #terminating}</td><td>never</td></tr>
 *   <tr><td>gone</td><td>{@link #terminated}; also returning</td><td>never</td></tr>
 * </table>
 *
 * <p>It gets new tasks in none of them. {@link #usable} covers all but missed responses, which the
 * scheduling loop checks itself.
 */
public final class Machine {
  private static final double ROUNDING_TOLERANCE = 1e-6;

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
  private final Map<String, Placement> tasks = new LinkedHashMap<>();
  private final Set<String> failedJobs = new HashSet<>();
  private long idleSinceMs;
  private long startsRefusedUntilMs;
  private boolean inherited;
  private int reservedForShard = -1;
  private long evictAtMs = -1;

  /** The record that names it. */
  final ScaleOutRequest request;

  private boolean recordWriteInProgress;

  private boolean recordWritten;

  /** On its way to another shard. */
  private boolean transferStarted;

  private boolean everUsed;

  private final FreeCapacityWindow freeCapacity;

  /** Whether it is used, or on its way back to the cloud; only moves on. */
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
    this.idleSinceMs = nowMs;
    this.freeCapacity = new FreeCapacityWindow(type.cores());
  }

  /** Name that the cloud gave it. */
  public String name() {
    return name;
  }

  /** Its machine type, at the prices of when it was asked for or taken over. */
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

  /** When it was asked for; for inherited ones, when it was taken over (steady clock, ms). */
  public long requestedMs() {
    return requestedMs;
  }

  /** What its worker's heartbeats tell. */
  public WorkerLiveness liveness() {
    return liveness;
  }

  /** When the newest heartbeat came (steady clock, ms); -1: none yet. */
  public long lastHeartbeatMs() {
    return liveness.lastHeartbeatMs();
  }

  /** Its newest heartbeat carried our token: what it lists is all there is. */
  public boolean confirmedUnderToken() {
    return liveness.confirmedUnderToken();
  }

  /** When the cloud takes it away (steady clock, ms); -1: no notice. */
  public long recallAtMs() {
    return recallAtMs;
  }

  /** The cloud gives notice that it takes it away at this time (steady clock, ms). */
  public void recordRecall(long atMs) {
    recallAtMs = atMs;
    cordoned = true;
  }

  /** Gets no new tasks, and goes once it is empty. */
  public boolean cordoned() {
    return cordoned;
  }

  /** From now on it gets no new tasks, and goes once it is empty. */
  public void cordon() {
    cordoned = true;
  }

  /** Its zone is unreachable, or returning and not yet open for it: no new tasks. */
  public boolean zoneClosed() {
    return zoneClosed;
  }

  /** Whether its zone is open for new tasks on it. */
  public void setZoneOpen(boolean open) {
    zoneClosed = !open;
  }

  /** Being given back until the cloud confirms. */
  public boolean terminating() {
    return service != Service.IN_SERVICE;
  }

  /** From now on it is being given back to the cloud. */
  void beginTermination() {
    service = Service.TERMINATING;
  }

  /** The cloud has confirmed that it is given back. */
  public boolean terminated() {
    return service == Service.TERMINATED;
  }

  /** The cloud confirms that it is given back. */
  void recordTermination() {
    service = Service.TERMINATED;
  }

  /** Images seen in use on it, by dense index. A view: only {@link #recordImage} changes it. */
  public IntOpenHashSet images() {
    return images;
  }

  /** An image, by dense index, is seen in use on it. */
  public void recordImage(int index) {
    images.add(index);
  }

  /**
   * Tasks counted as on it, by name, in the order they were placed. A view: only {@link #add} and
   * {@link #remove} change it.
   */
  public Map<String, Placement> tasks() {
    return tasks;
  }

  /** How many of the jobs that failed on it, with no success since, are such. */
  public long countFailedJobs(Predicate<String> uidFilter) {
    return failedJobs.stream().filter(uidFilter).count();
  }

  /** A task of this job failed on it. */
  public void recordFailedJob(String uid) {
    failedJobs.add(uid);
  }

  /** The failures of this job on it count no more. */
  public void forgetFailedJob(String uid) {
    failedJobs.remove(uid);
  }

  /** A task succeeded on it: the failures before count no more. */
  public void clearFailedJobs() {
    failedJobs.clear();
  }

  /** Since when it has no task (steady clock, ms); -1: it has some. */
  public long idleSinceMs() {
    return idleSinceMs;
  }

  /** It refused a start for lack of room: nothing new before this time (steady clock, ms). */
  public long startsRefusedUntilMs() {
    return startsRefusedUntilMs;
  }

  /** It refused a start for lack of room, and gets none before this time (steady clock, ms). */
  public void refuseStartsUntil(long untilMs) {
    startsRefusedUntilMs = untilMs;
  }

  /** The shard that it goes to once it is empty; -1: it stays. */
  public int reservedForShard() {
    return reservedForShard;
  }

  /** It gets no new tasks, and goes to this shard once it is empty. */
  public void reserveForShard(int shard) {
    reservedForShard = shard;
    cordoned = true;
  }

  /** From when on its tasks are stopped (steady clock, ms); -1: they may end first. */
  public long evictAtMs() {
    return evictAtMs;
  }

  /** Tasks that are still on it from this time on are stopped (steady clock, ms). */
  public void evictAt(long atMs) {
    evictAtMs = atMs;
  }

  /** Whether it was taken over from a former owner of the shard. */
  public boolean inherited() {
    return inherited;
  }

  /** Whether it comes with a record of a former owner of the shard. */
  void setInherited(boolean fromPreviousLeader) {
    inherited = fromPreviousLeader;
  }

  /** Name of its zone. */
  public String zoneName() {
    return request.record.zone();
  }

  /** Came from another shard. */
  public boolean receivedByTransfer() {
    return request.fence > 0;
  }

  /** Cores that no task on it needs. */
  public double freeCores() {
    double free = type.cores();
    for (Placement p : tasks.values()) {
      free -= p.job().spec().cores();
    }
    return free;
  }

  boolean hasCapacityFor(double cores, double gpus, double memoryGb) {
    double freeCores = type.cores() + ROUNDING_TOLERANCE;
    double freeGpus = type.gpus() + ROUNDING_TOLERANCE;
    double freeMemoryGb = type.memoryGb() + ROUNDING_TOLERANCE;
    for (Placement p : tasks.values()) {
      freeCores -= p.job().spec().cores();
      freeGpus -= p.job().spec().gpus();
      freeMemoryGb -= p.job().spec().memoryGb();
    }
    return freeCores >= cores && freeGpus >= gpus && freeMemoryGb >= memoryGb;
  }

  /** Begins a new window in which the least free room is noted. */
  public void beginFreeCapacityWindow() {
    freeCapacity.beginWindow(freeCores());
  }

  /** Cores that no task has used for a whole window at least. */
  public double sustainedFreeCores() {
    return freeCapacity.sustainedFreeCores();
  }

  /**
   * The fencing token for this machine: above the giver's, if it was given to this shard, and never
   * below the leader's.
   */
  public long token(long leaderToken) {
    return Math.max(leaderToken, request.fence);
  }

  /** A write of the record that names it is under way. */
  boolean recordWriteInProgress() {
    return recordWriteInProgress;
  }

  /** A write of the record that names it begins. */
  void beginRecordWrite() {
    recordWriteInProgress = true;
  }

  /** The write of the record that names it failed. */
  void recordWriteFailed() {
    recordWriteInProgress = false;
  }

  /** The record that names it is stored. */
  void completeRecordWrite() {
    recordWriteInProgress = false;
    recordWritten = true;
  }

  /** It goes to another shard, and is used no more from now on. */
  void beginTransfer() {
    transferStarted = true;
  }

  /**
   * The machine may be used: the record says it is ours. Without that a successor would not find
   * it, take its tasks for gone and start them twice.
   */
  public boolean recorded() {
    return recordWritten && !transferStarted;
  }

  /**
   * It gets new tasks.
   *
   * @param nowMs steady clock
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
   * Whether it may be transferred while idle. Not if it was transferred to this shard, which had no
   * use for it: shards that all lack machines of another kind would pass it round for ever, and the
   * cloud could not grant it to them as what they need.
   */
  public boolean mayBeTransferred() {
    return everUsed || request.fence == 0;
  }

  /** A task is placed on it. */
  public void add(Placement placement) {
    everUsed = true;
    tasks.put(placement.taskName(), placement);
    freeCapacity.record(freeCores());
    idleSinceMs = -1;
  }

  /** The task is proved gone from it. */
  public void remove(Placement placement, long nowMs) {
    tasks.remove(placement.taskName(), placement);
    if (tasks.isEmpty() && idleSinceMs < 0) {
      idleSinceMs = nowMs;
    }
  }
}
