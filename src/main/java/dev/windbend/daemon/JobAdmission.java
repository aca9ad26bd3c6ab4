package dev.windbend.daemon;

import dev.windbend.job.Admission;
import dev.windbend.job.AdmissionPolicy;
import dev.windbend.job.JobSpec;
import dev.windbend.machine.MachineType;
import dev.windbend.machine.MachineTypeCatalog;
import dev.windbend.shard.ShardLayout;
import java.util.List;

/**
 * Admits a job only if the deployment can run it: the job's team is known, and a single task does
 * not exceed the team's limit and fits a machine type that the job allows.
 */
final class JobAdmission implements AdmissionPolicy {
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final Admission UNKNOWN_TEAM = new Admission.Rejected("unknown team");
  private static final Admission TASK_EXCEEDS_TEAM_LIMIT =
      new Admission.Rejected("one task is over the team's limit");
  private static final Admission FITS_NO_MACHINE_TYPE =
      new Admission.Rejected("a task fits no allowed machine type");

  private final ShardLayout layout;
  private final List<Settings.Team> teams;
  private final MachineTypeCatalog catalog;
  private final int maxRecordBytes;

  /**
   * Creates an admission policy for a deployment.
   *
   * @param teams the teams, in the order of the layout's team indexes
   * @param maxRecordBytes maximum size of a value in the state service
   */
  JobAdmission(
      ShardLayout layout,
      List<Settings.Team> teams,
      MachineTypeCatalog catalog,
      int maxRecordBytes) {
    this.layout = layout;
    this.teams = teams;
    this.catalog = catalog;
    this.maxRecordBytes = maxRecordBytes;
  }

  @Override
  public int maxRecordBytes() {
    return maxRecordBytes;
  }

  /**
   * Decides whether the job is admitted. The decision on a job of a known team is {@link
   * Admission#UNDECIDED} until the machine types are loaded.
   */
  @Override
  public Admission decide(JobSpec spec) {
    int teamIndex = layout.teamIndex(spec.team());
    if (teamIndex < 0) {
      return UNKNOWN_TEAM;
    }
    if (!catalog.isLoaded()) {
      return Admission.UNDECIDED;
    }
    if (exceedsTeamLimit(spec, teams.get(teamIndex))) {
      return TASK_EXCEEDS_TEAM_LIMIT;
    }
    for (MachineType type : catalog.all()) {
      if (isAllowedType(spec, type) && type.fits(spec.cores(), spec.gpus(), spec.memoryGb())) {
        return Admission.ADMITTED;
      }
    }
    return FITS_NO_MACHINE_TYPE;
  }

  private static boolean exceedsTeamLimit(JobSpec spec, Settings.Team team) {
    return spec.cores() > team.maxCores() + ROUNDING_TOLERANCE
        || spec.gpus() > team.maxGpus() + ROUNDING_TOLERANCE;
  }

  /**
   * Returns whether the job may run on the machine type. If the job requires a zone, the type must
   * be offered there.
   */
  private boolean isAllowedType(JobSpec spec, MachineType type) {
    if (spec.types() != null && !spec.types().contains(type.name())) {
      return false;
    }
    if (spec.zone() == null) {
      return true;
    }
    int zoneIndex = catalog.zones().find(spec.zone());
    return zoneIndex >= 0 && type.isOfferedIn(zoneIndex);
  }
}
