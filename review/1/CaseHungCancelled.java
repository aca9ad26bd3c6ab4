import java.util.List;

/** Machines hang, their job is cancelled, and the leader crashes once. */
final class CaseHungCancelled {
  private static final String JOB = "wk-000001";

  /** How long the machines hang (the site files have 25 to 60 s). */
  private static final long HANG_MS = 55_000;

  /** When the leader crashes, after the machines began to hang. */
  private static final long CRASH_AFTER_MS =
      Long.parseLong(System.getenv().getOrDefault("CRASH_AFTER_MS", "18000"));

  private static final long RESTART_AFTER_MS = 3_000;

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

  private static int run(Lab lab) throws Exception {
    lab.startServices(
        new StateService(150, 20, 8, 4), new Cloud(lab, "paper-16", 16, 128, 10, 8, 4), null);
    lab.startNodes(3);
    if (!lab.awaitUp(30_000)) {
      return lab.end(Lab.COULD_NOT_RUN, "the controllers did not come up");
    }
    Lab.Job job = Lab.job(JOB, 6, 8, 58, 110);
    if (lab.submit(job, "loans-desk", "statements", 100, true) != 201) {
      return lab.end(Lab.COULD_NOT_RUN, "the job was not accepted");
    }
    long until = lab.nowMs() + 40_000;
    while (lab.onMachines(JOB).size() < job.tasks) {
      if (lab.nowMs() > until) {
        return lab.end(Lab.COULD_NOT_RUN, "the tasks did not start");
      }
      Lab.sleep(50);
    }
    Lab.sleep(3_000);
    long hungAt = lab.nowMs();
    if (lab.trouble) {
      for (Worker machine : lab.cloud.machines().values()) {
        machine.hang(true);
      }
    }
    Http.Reply told = lab.user("POST", "/v1/jobs/" + JOB + "/cancel", "", 20_000);
    long toldAt = lab.nowMs();
    if (told.status() != 200 || !told.body().contains("aborted")) {
      return lab.end(Lab.COULD_NOT_RUN, "the cancellation was not confirmed");
    }
    if (lab.trouble) {
      lab.sleepUntil(hungAt + CRASH_AFTER_MS);
      Lab.Node leader = lab.leader(0);
      if (leader == null) {
        return lab.end(Lab.COULD_NOT_RUN, "no controller leads the job's shard");
      }
      lab.kill(leader);
      lab.sleepUntil(hungAt + CRASH_AFTER_MS + RESTART_AFTER_MS);
      lab.start(leader);
    }
    long dueAt = toldAt + (long) (1000 * lab.cancelS);
    lab.sleepUntil(dueAt);
    List<Lab.Stay> late = lab.onMachines(JOB);
    lab.record("check", late.size() + " tasks on a machine " + lab.cancelS + " s after the answer");
    while (!lab.onMachines(JOB).isEmpty() && lab.nowMs() < hungAt + HANG_MS) {
      Lab.sleep(50);
    }
    double goneAfterS = (lab.nowMs() - toldAt) / 1000.0;
    for (Worker machine : lab.cloud.machines().values()) {
      machine.hang(false);
    }
    return late.isEmpty()
        ? lab.end(Lab.HELD, "no task was on a machine " + lab.cancelS + " s after the answer")
        : lab.end(
            Lab.BROKEN,
            late.size() + " tasks of the cancelled job were on machines for up to " + goneAfterS
                + " s after its user was told; cancel_s is " + lab.cancelS);
  }
}
