import java.math.BigInteger;
import java.util.List;
import java.util.Map;

/**
 * Two machines hang when their job is cancelled, and the controller that leads them crashes about 15 s
 * later. Broken if a task of the job is on a machine more than cancel_s after its user was told.
 */
final class HungAtCancel {
  private static final String UID = "wk-000412";
  private static final double HANG_S = 60;
  private static final double CRASH_AFTER_S = 14.8;
  private static final double RESTART_AFTER_S = 3;

  /** For the time that the measurement itself takes. */
  private static final double MARGIN_S = 0.3;

  private HungAtCancel() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args, Site.nile(), BigInteger.ONE, 1, 0.6);
    lab.start();
    Map<String, Object> job = Users.job(UID, "royalty-run", "publisher-desk", 2, 16);
    job.put("haul_s", 120.0);
    job.put("due_s", 200.0);
    lab.users.submit(job, 120);
    while (lab.checker.onMachines(UID) < 2) {
      if (lab.record.seconds() > 60) {
        lab.end(Lab.COULD_NOT_RUN, "the job did not start");
      }
      Lab.sleep(0.2);
    }
    Lab.sleep(4);
    List<Worker> workers = lab.cloud.workers();
    int leader = workers.get(0).reportsTo();
    if (workers.size() != 2 || workers.get(1).reportsTo() != leader) {
      lab.end(Lab.COULD_NOT_RUN, "the machines do not report to one controller");
    }
    if (lab.trouble) {
      workers.forEach(worker -> worker.hang(HANG_S));
    }
    int status = lab.users.cancel(UID);
    if (status != 200) {
      lab.end(Lab.COULD_NOT_RUN, "the cancellation was answered with " + status);
    }
    double toldS = lab.record.seconds();
    if (lab.trouble) {
      await(lab, toldS + CRASH_AFTER_S);
      lab.controllers.kill(leader);
      Lab.sleep(RESTART_AFTER_S);
      lab.controllers.start(leader);
    }
    double goneS = -1;
    while (goneS < 0 && lab.record.seconds() < toldS + lab.site.cancelS + 12) {
      goneS = lab.checker.idleSinceS(UID);
      Lab.sleep(0.1);
    }
    String when =
        goneS < 0
            ? "tasks are still on machines 12 s after cancel_s"
            : String.format("the last task is gone %.1f s after its user was told", goneS - toldS);
    boolean broken = goneS < 0 || goneS > toldS + lab.site.cancelS + MARGIN_S;
    lab.end(broken ? Lab.BROKEN : Lab.HELD, when + " (cancel_s " + lab.site.cancelS + ")");
  }

  private static void await(Lab lab, double untilS) {
    while (lab.record.seconds() < untilS) {
      Lab.sleep(0.05);
    }
  }
}
