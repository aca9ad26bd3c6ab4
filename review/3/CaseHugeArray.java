/** A guest team submits one huge array of small tasks, many of which fit on one machine. */
final class CaseHugeArray {
  private static final String JOB = "wk-000001";
  private static final int HUGE = 1_500;
  private static final int MODEST = 300;
  private static final long WATCH_MS = 80_000;

  public static void main(String[] args) throws Exception {
    int code;
    try (Lab lab =
        new Lab(
            args[0],
            Lab.team("loans-desk", 176, 448)
                + Lab.team("press-desk", 320, 888)
                + Lab.team("guests", 0, 0),
            1.5,
            14.0,
            34.0)) {
      code = run(lab);
    }
    System.exit(code);
  }

  private static int run(Lab lab) throws Exception {
    lab.startServices(
        new StateService(150, 20, 8, 4), new Cloud(lab, "paper-16", 16, 128, 3, 8, 4), null);
    lab.startNodes(3);
    if (!lab.awaitUp(30_000)) {
      return lab.end(Lab.COULD_NOT_RUN, "the controllers did not come up");
    }
    int tasks = lab.trouble ? HUGE : MODEST;
    if (lab.submit(Lab.job(JOB, tasks, 0.01, 0.05, 10), "guests", "text-index", 10, false) != 201) {
      return lab.end(Lab.COULD_NOT_RUN, "the job was not accepted");
    }
    long until = lab.nowMs() + WATCH_MS;
    boolean done = false;
    while (!done && lab.nowMs() < until) {
      done = "done".equals(lab.status(JOB));
      Lab.sleep(2_000);
    }
    String seen =
        lab.longLines.get() + " answers to workers had a line over 64 KiB; tasks done: "
            + lab.results.size() + " of " + tasks + "; job done: " + done;
    return lab.longLines.get() == 0 && done
        ? lab.end(Lab.HELD, seen)
        : lab.end(lab.longLines.get() > 0 ? Lab.BROKEN : Lab.COULD_NOT_RUN, seen);
  }
}
