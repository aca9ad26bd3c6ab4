import java.math.BigInteger;
import java.util.Map;

/**
 * A user submits one array of 100,000 short tasks, the most that the protocol allows; without the
 * disruption the array has 83 tasks, the most that the brief names for its class. The other jobs
 * are small. Broken if every controller hangs: each of them, while its process runs, leaves a
 * health check unanswered for longer than any client of the protocol waits (5 s).
 */
final class LargeArray {
  private static final double LONGEST_WAIT_S = 5;
  private static final double OBSERVED_S = 105;
  private static final double OBSERVED_WITHOUT_S = 60;
  private static final int SMALL_JOBS = 8;

  private LargeArray() {}

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args, Site.kauri(), BigInteger.ONE, 6, 0.6);
    lab.start();
    double[] longestS = new double[3];
    for (int i = 0; i < 3; i++) {
      int index = i;
      Http.daemon(() -> probe(lab, index, longestS)).start();
    }
    int drops = lab.trouble ? 100_000 : 83;
    Map<String, Object> array = Users.job(uid(0), "drop-pricing", "billing-desk", drops, 0.002);
    array.put("haul_s", 1.0);
    array.put("due_s", 60.0);
    int status = lab.users.submit(array, 0.4);
    if (status != 201) {
      lab.end(Lab.COULD_NOT_RUN, "the array was answered with " + status);
    }
    Http.daemon(() -> submitSmallJobs(lab)).start();
    double untilS = lab.trouble ? OBSERVED_S : OBSERVED_WITHOUT_S;
    while (lab.record.seconds() < untilS && !allHung(longestS)) {
      Lab.sleep(1);
    }
    for (int k = 0; k <= SMALL_JOBS; k++) {
      Map<String, Object> job = lab.site.job(uid(k));
      if (job != null) {
        lab.record.line(
            "%s of %s: %d of %s tasks started",
            uid(k), job.get("crew"), lab.checker.startedOf(uid(k)), job.get("drops"));
      }
    }
    String longest =
        String.format(
            "longest time without an answer to GET /up: %.1f, %.1f and %.1f s",
            longestS[0], longestS[1], longestS[2]);
    if (allHung(longestS)) {
      lab.end(Lab.BROKEN, longest);
    }
    boolean ran = lab.checker.startedInAll() > 0;
    lab.end(lab.trouble || ran ? Lab.HELD : Lab.COULD_NOT_RUN, longest);
  }

  private static boolean allHung(double[] longestS) {
    return longestS[0] > LONGEST_WAIT_S
        && longestS[1] > LONGEST_WAIT_S
        && longestS[2] > LONGEST_WAIT_S;
  }

  private static String uid(int k) {
    return String.format("wk-%06d", 412 + k);
  }

  /** Small jobs of all teams, which share the controllers with the array. */
  private static void submitSmallJobs(Lab lab) {
    try {
      for (int k = 1; k <= SMALL_JOBS; k++) {
        String crew = lab.site.teams.get(k % lab.site.teams.size()).name();
        lab.users.submit(Users.job(uid(k), "route-build", crew, 3, 4), 5);
        Lab.sleep(4);
        lab.users.poll(uid(k));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Measures how long a controller whose process runs leaves a health check unanswered. */
  private static void probe(Lab lab, int index, double[] longestS) {
    while (true) {
      double sentS = lab.record.seconds();
      Http.Answer answer = Http.call(lab.controllers.addresses[index], "GET", "/up", null, 60);
      double tookS = lab.record.seconds() - sentS;
      if (tookS > 1) {
        lab.record.line(
            "mast-%d answers GET /up with %d after %.1f s", index, answer.status(), tookS);
      }
      if (lab.controllers.alive(index)) {
        longestS[index] = Math.max(longestS[index], tookS);
      }
      Lab.sleep(0.5);
    }
  }
}
