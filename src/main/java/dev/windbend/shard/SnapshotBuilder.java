package dev.windbend.shard;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.Machine;
import dev.windbend.plan.InstanceOffer;
import dev.windbend.plan.MachineCapacity;
import dev.windbend.plan.PendingJob;
import dev.windbend.plan.Snapshot;
import dev.windbend.runtime.EventLoop;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Builds the planner's input for one scheduling cycle from the shard's jobs and machines. */
final class SnapshotBuilder {
  /** Maximum number of machines in one scale-out request to the cloud. */
  private static final int MAX_MACHINES_PER_REQUEST = 50;

  /**
   * The planner waits for capacity that becomes free within this many heartbeat intervals instead
   * of preempting tasks.
   */
  private static final double PREEMPTION_WAIT_HEARTBEATS = 2;

  /**
   * The reserve is sized by the jobs submitted within the longest boot time, or within this time if
   * that is longer.
   */
  private static final double MIN_RESERVE_WINDOW_SECONDS = 60;

  private final EventLoop loop;
  private final ShardState state;
  private final DeploymentSpec deployment;
  private final Policy policy;
  private final JobDeadlines deadlines;
  private final MachineCapacityBuilder machineCapacities;
  private final PendingJobBuilder pendingJobs;

  SnapshotBuilder(
      EventLoop loop,
      ShardState state,
      DeploymentSpec deployment,
      Policy policy,
      JobDeadlines deadlines,
      StarvedJobs starvedJobs) {
    this.loop = loop;
    this.state = state;
    this.deployment = deployment;
    this.policy = policy;
    this.deadlines = deadlines;
    this.machineCapacities = new MachineCapacityBuilder(deployment, policy, deadlines);
    this.pendingJobs =
        new PendingJobBuilder(state, deployment.objectives(), deadlines, starvedJobs);
  }

  /**
   * Builds the snapshot of one scheduling cycle.
   *
   * @param nowMs monotonic clock
   * @param oldestFirst whether the planner places the longest-waiting jobs first
   * @param jobs the jobs with waiting tasks; the snapshot keeps their order
   * @param machines the schedulable machines; the snapshot keeps their order and adds the requested
   *     machines
   * @param offers the kinds of machine that the cloud offers
   * @param runningByMachine output; receives one list for each of {@code machines}, with the
   *     machine's tasks in the order of the snapshot
   */
  Snapshot build(
      long nowMs,
      boolean oldestFirst,
      List<Job> jobs,
      List<Machine> machines,
      List<InstanceOffer> offers,
      List<List<Placement>> runningByMachine) {
    List<Snapshot.Team> teams = teams();
    Object2IntOpenHashMap<String> machineIndexByName = new Object2IntOpenHashMap<>();
    List<MachineCapacity> capacities = new ArrayList<>();
    for (Machine machine : machines) {
      machineIndexByName.put(machine.name(), capacities.size());
      List<Placement> tasks = tasksUsingCapacity(machine);
      runningByMachine.add(tasks);
      capacities.add(machineCapacities.fromMachine(machine, tasks, nowMs));
    }
    addPendingScaleOuts(capacities, nowMs);
    List<PendingJob> pending = new ArrayList<>();
    Set<Job> guaranteed =
        deployment.objectives().guaranteedStartSeconds() > 0 ? jobsWithinGuarantee() : Set.of();
    for (Job job : jobs) {
      pending.add(pendingJobs.build(job, nowMs, machineIndexByName, guaranteed.contains(job)));
    }
    return new Snapshot(
        nowMs, limits(), oldestFirst, recentlySubmittedCores(), teams, pending, capacities, offers);
  }

  private Snapshot.Limits limits() {
    double preemptionWaitMs =
        PREEMPTION_WAIT_HEARTBEATS * Units.MS_PER_SECOND * deployment.workers().heartbeatSeconds();
    return new Snapshot.Limits(
        policy.cyclePeriodMs(), (long) preemptionWaitMs, maxScaleOutMachines());
  }

  private List<Snapshot.Team> teams() {
    double[] cores = TeamUsage.cores(state.jobs().all(), deployment.teams().size());
    double[] gpus = TeamUsage.gpus(state.jobs().all(), deployment.teams().size());
    List<Snapshot.Team> teams = new ArrayList<>();
    for (int i = 0; i < cores.length; i++) {
      DeploymentSpec.TeamQuota quota = deployment.teams().get(i);
      teams.add(new Snapshot.Team(quota.maxCores(), quota.maxGpus(), cores[i], gpus[i]));
    }
    return teams;
  }

  /**
   * The machine's tasks except those that are stopped without a grace period: they have ended
   * before the next task starts on the machine.
   */
  private static List<Placement> tasksUsingCapacity(Machine machine) {
    List<Placement> tasks = new ArrayList<>(machine.tasks().values());
    tasks.removeIf(placement -> placement.stopGraceS() == 0);
    return tasks;
  }

  private void addPendingScaleOuts(List<MachineCapacity> capacities, long nowMs) {
    for (Fleet.PendingScaleOut request : state.fleet().pendingScaleOuts()) {
      // Machines requested in a zone under evacuation are not expected to become usable.
      if (!state.zones().isEvacuated(request.zone())) {
        for (int i = 0; i < request.count(); i++) {
          capacities.add(machineCapacities.fromPendingScaleOut(request, nowMs));
        }
      }
    }
  }

  /**
   * Maximum number of machines that one cycle may request from the cloud. The cloud limits the rate
   * of requests for all controllers together; this controller may send an equal share of them, and
   * at least one request per cycle.
   */
  private int maxScaleOutMachines() {
    double requestsPerCycle =
        deployment.cloud().requestsPerSecond()
            * policy.cyclePeriodMs()
            / Units.MS_PER_SECOND
            / deployment.controllers();
    return MAX_MACHINES_PER_REQUEST * (int) Math.max(1, requestsPerCycle);
  }

  /**
   * Total cores of the jobs submitted within the longest boot time of a machine type, or within
   * {@link #MIN_RESERVE_WINDOW_SECONDS} if that is longer.
   */
  private double recentlySubmittedCores() {
    double windowMs =
        Units.MS_PER_SECOND * Math.max(MIN_RESERVE_WINDOW_SECONDS, deadlines.maxBootSeconds());
    double cores = 0;
    for (Job job : state.jobs().all()) {
      boolean recent = loop.wallMs() - job.submittedWallMs() <= windowMs;
      cores += recent ? job.spec().tasks() * job.spec().cores() : 0;
    }
    return cores;
  }

  /** Jobs that fit into their team's guarantee together with all earlier jobs of the team. */
  private Set<Job> jobsWithinGuarantee() {
    List<Job> jobs = new ArrayList<>(state.jobs().all());
    jobs.sort(Comparator.comparingLong(Job::submittedWallMs));
    double[] cores = new double[deployment.teams().size()];
    double[] gpus = new double[cores.length];
    Set<Job> guaranteed = new HashSet<>();
    for (Job job : jobs) {
      int team = job.teamIndex();
      int openTasks = job.waitingCount() + job.placements().size();
      cores[team] += openTasks * job.spec().cores();
      gpus[team] += openTasks * job.spec().gpus();
      DeploymentSpec.TeamQuota quota = deployment.teams().get(team);
      if (cores[team] <= quota.guaranteedCores() + Units.RESOURCE_TOLERANCE
          && gpus[team] <= quota.guaranteedGpus() + Units.RESOURCE_TOLERANCE) {
        guaranteed.add(job);
      }
    }
    return guaranteed;
  }
}
