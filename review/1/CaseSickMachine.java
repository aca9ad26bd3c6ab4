/** A machine fails the tasks that start on it for some seconds; then it is well again. */
final class CaseSickMachine {
  private static final String FULL = "wk-000001";
  private static final String PART = "wk-000002";
  private static final String WAITING = "wk-000003";
  private static final String PROBE = "wk-000004";

  /** The rule's bound. */
  private static final long MAX_WAIT_MS = 90_000;

  public static void main(String[] args) throws Exception {
    int code;
    try (Lab lab =
        new Lab(
            args[0],
            Lab.team("loans-desk", 176, 448) + Lab.team("press-desk", 320, 888),
            1.5,
            14.0,
            34.0)) {
      code = run(lab);
    }
    System.exit(code);
  }

  private static boolean awaitRunning(Lab lab, String uid, long timeoutMs) {
    long until = lab.nowMs() + timeoutMs;
    while (lab.onMachines(uid).isEmpty()) {
      if (lab.nowMs() > until) {
        return false;
      }
      Lab.sleep(20);
    }
    return true;
  }

  private static boolean awaitDone(Lab lab, String uid, long untilMs) {
    while (lab.nowMs() < untilMs) {
      if ("done".equals(lab.status(uid))) {
        return true;
      }
      Lab.sleep(2_000);
    }
    return false;
  }

  private static int run(Lab lab) throws Exception {
    lab.startServices(
        new StateService(150, 20, 8, 4), new Cloud(lab, "paper-16", 16, 128, 3, 2, 4), null);
    lab.startNodes(3);
    if (!lab.awaitUp(30_000)) {
      return lab.end(Lab.COULD_NOT_RUN, "the controllers did not come up");
    }
    lab.submit(Lab.job(FULL, 1, 16, 60, 118), "loans-desk", "statements", 110, false);
    lab.submit(Lab.job(PART, 1, 8, 60, 118), "loans-desk", "statements", 110, false);
    if (!awaitRunning(lab, FULL, 20_000) || !awaitRunning(lab, PART, 20_000)) {
      return lab.end(Lab.COULD_NOT_RUN, "the first two jobs did not start");
    }
    Worker machine = lab.cloud.machines().get(lab.onMachines(PART).get(0).machine);
    if (lab.trouble) {
      lab.record("case", machine.name + " fails all tasks that start on it from now on");
      machine.sick = true;
    }
    lab.submit(Lab.job(WAITING, 1, 2, 8, 4), "loans-desk", "statements", 4, false);
    long until = lab.nowMs() + 12_000;
    boolean failed = false;
    while (lab.trouble && !failed && lab.nowMs() < until) {
      synchronized (lab.stays) {
        failed = lab.stays.stream().anyMatch(s -> s.drop.startsWith(WAITING) && s.toMs >= 0);
      }
      Lab.sleep(20);
    }
    if (lab.trouble && !failed) {
      return lab.end(Lab.COULD_NOT_RUN, "the task did not start on the machine while it was sick");
    }
    machine.sick = false;
    long wellAt = lab.nowMs();
    lab.record("case", machine.name + " is well again");
    lab.submit(Lab.job(PROBE, 1, 2, 8, 4), "loans-desk", "statements", 4, false);
    if (!awaitDone(lab, PROBE, wellAt + 30_000)) {
      return lab.end(Lab.COULD_NOT_RUN, "the machine did not serve another job of the same size");
    }
    if (awaitDone(lab, WAITING, wellAt + MAX_WAIT_MS + 1_000)) {
      return lab.end(Lab.HELD, "the job is done " + (lab.nowMs() - wellAt) / 1000.0 + " s later");
    }
    boolean ranAgain;
    synchronized (lab.stays) {
      ranAgain =
          lab.stays.stream().anyMatch(s -> s.drop.startsWith(WAITING) && s.fromMs > wellAt);
    }
    boolean machineWasThere = lab.cloud.machines().containsKey(machine.name);
    return ranAgain || !machineWasThere
        ? lab.end(Lab.HELD, "the job started, or its machine left")
        : lab.end(
            Lab.BROKEN,
            "the job was left waiting for " + (lab.nowMs() - wellAt) / 1000.0 + " s beside "
                + machine.name + ", which has 8 of 16 cores free and served another job");
  }
}
