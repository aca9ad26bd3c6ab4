package dev.windbend.zone;

import dev.windbend.job.Job;

/** What planning, renting and machine health ask of the view of zones. */
public interface ZoneGate {
  /** All zones are open, as where zones are not looked after. */
  ZoneGate OPEN =
      new ZoneGate() {
        @Override
        public int rentable(int zone) {
          return Integer.MAX_VALUE;
        }

        @Override
        public void rented(int zone, int machines) {
          // nothing is counted
        }

        @Override
        public boolean evacuates(int zone) {
          return false;
        }

        @Override
        public boolean displaced(Job job) {
          return false;
        }

        @Override
        public boolean unreachable(String zone) {
          return false;
        }
      };

  /** How many machines may be rented in a zone now. */
  int rentable(int zone);

  /** So many were asked for. */
  void rented(int zone, int machines);

  /** Lost machines of this zone are given up in the order of its evacuation. */
  boolean evacuates(int zone);

  /** Tasks of the job lost their machine with a zone, and have not run since. */
  boolean displaced(Job job);

  /** Jobs that may run in this zone only have to wait. */
  boolean unreachable(String zone);
}
