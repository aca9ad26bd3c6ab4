import java.math.BigInteger;
import java.util.Map;

/**
 * A job's tasks are stopped for a job of higher priority while the cloud has no other machine.
 * Broken if the job is called running although no task of it was on a machine in the last 3 s.
 */
final class CalledRunning {
  private static final String LOW = "wk-000412";
  private static final String HIGH = "wk-000413";
  private static final double LAG_S = 3;

  /** For the time that the measurement itself takes. */
  private static final double MARGIN_S = 1;

  private static final double OBSERVED_S = 30;

  private CalledRunning() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args, Site.nile(), BigInteger.ONE, 1, 0.6);
    lab.start();
    lab.users.submit(job(LOW, "idle", 25), 25);
    while (lab.checker.onMachines(LOW) < 4) {
      if (lab.record.seconds() > 60) {
        lab.end(Lab.COULD_NOT_RUN, "the job did not start");
      }
      Lab.sleep(0.2);
    }
    if (lab.trouble) {
      lab.users.submit(job(HIGH, "production", 60), 60);
    }
    double untilS = lab.record.seconds() + OBSERVED_S;
    double longestS = 0;
    int wrong = 0;
    while (lab.record.seconds() < untilS) {
      Lab.sleep(2);
      double sentS = lab.record.seconds();
      double idleSinceS = lab.checker.idleSinceS(LOW);
      Http.Answer answer = lab.users.poll(LOW);
      boolean idle = idleSinceS >= 0 && sentS > idleSinceS + LAG_S + MARGIN_S;
      boolean stillIdle = lab.checker.onMachines(LOW) == 0;
      if (idle
          && stillIdle
          && answer.status() == 200
          && "running".equals(Json.object(answer.body()).get("status"))) {
        wrong++;
        longestS = Math.max(longestS, sentS - idleSinceS);
      }
    }
    if (lab.trouble && lab.checker.startedOf(HIGH) == 0) {
      lab.end(Lab.COULD_NOT_RUN, "the job of higher priority did not start");
    }
    lab.end(
        wrong > 0 ? Lab.BROKEN : Lab.HELD,
        String.format(
            "%d answers called the job running, the last %.1f s after its last task was stopped",
            wrong, longestS));
  }

  private static Map<String, Object> job(String uid, String urgency, double runS) {
    Map<String, Object> job = Users.job(uid, "royalty-run", "publisher-desk", 4, 4);
    job.put("urgency", urgency);
    job.put("standby", false);
    job.put("haul_s", runS);
    return job;
  }
}
