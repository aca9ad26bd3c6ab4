package dev.windbend.zone;

import dev.windbend.job.Job;

/** What scheduling, scale-out and machine health ask of the view of zones. */
public interface ZoneAvailability {
  /** All zones are open, as where zones are not looked after. */
  ZoneAvailability UNRESTRICTED =
      new ZoneAvailability() {
        @Override
        public int scaleOutLimit(int zone) {
          return Integer.MAX_VALUE;
        }

        @Override
        public void recordScaleOut(int zone, int machines) {
          // nothing is counted
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

  /** How many machines may be requested in the zone now. */
  int scaleOutLimit(int zone);

  /** So many machines were requested in the zone. */
  void recordScaleOut(int zone, int machines);

  /** Lost machines of this zone are given up in the order of its evacuation. */
  boolean isEvacuated(int zone);

  /** Tasks of the job lost their machine with a zone, and have not run since. */
  boolean isDisplaced(Job job);

  /** Jobs that may run in this zone only have to wait. */
  boolean isUnreachable(String zone);
}
