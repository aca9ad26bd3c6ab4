package dev.windbend.zone;

import dev.windbend.job.Job;

/** Availability of zones, as needed by scheduling, scale-out and machine health checks. */
public interface ZoneAvailability {
  /** All zones are available; used where zones are not monitored. */
  ZoneAvailability UNRESTRICTED =
      new ZoneAvailability() {
        @Override
        public int scaleOutLimit(int zone) {
          return Integer.MAX_VALUE;
        }

        @Override
        public void recordScaleOut(int zone, int machines) {
          // no limit to count against
        }

        @Override
        public boolean isEvacuated(int zone) {
          return false;
        }

        @Override
        public boolean isDisplaced(Job job) {
          return false;
        }

        @Override
        public boolean isUnreachable(String zone) {
          return false;
        }
      };

  /** Returns how many machines may be requested in the zone now. */
  int scaleOutLimit(int zone);

  /** Counts machines that were requested in the zone against its limit. */
  void recordScaleOut(int zone, int machines);

  /**
   * Returns whether the zone is being evacuated, so that its lost machines are scaled in according
   * to the evacuation plan.
   */
  boolean isEvacuated(int zone);

  /** Returns whether tasks of the job lost their machine with a zone and have not run since. */
  boolean isDisplaced(Job job);

  /** Returns whether the zone is unreachable, so that jobs restricted to the zone must wait. */
  boolean isUnreachable(String zone);
}
