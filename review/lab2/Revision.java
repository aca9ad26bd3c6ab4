import java.math.BigInteger;
import java.util.Map;

/**
 * The state service has counted 2^31 changes before windbend starts; without the disruption it has
 * counted none. Broken if no task is started within 60 s of the acceptance.
 */
final class Revision {
  private static final double OBSERVED_S = 60;

  private Revision() {}

  public static void main(String[] args) throws Exception {
    BigInteger ledger =
        args.length > 2 ? new BigInteger(args[2]) : BigInteger.ONE.shiftLeft(31);
    Lab lab = new Lab(args, Site.kauri(), ledgerFor(ledger), 2, 0.1);
    lab.start();
    Map<String, Object> job = Users.job("wk-000001", "route-build", "north-yard", 4, 4);
    int status = lab.users.submit(job, 3);
    if (status != 201) {
      lab.end(Lab.COULD_NOT_RUN, "the job was answered with " + status);
    }
    double untilS = lab.record.seconds() + OBSERVED_S;
    while (lab.record.seconds() < untilS && lab.checker.completedOf("wk-000001") < 4) {
      Lab.sleep(5);
      lab.users.poll("wk-000001");
    }
    int started = lab.checker.startedInAll();
    lab.end(
        started == 0 ? Lab.BROKEN : Lab.HELD,
        "tasks started: " + started + ", completed: " + lab.checker.completedOf("wk-000001")
            + ", revision " + lab.state.ledger());
  }

  private static BigInteger ledgerFor(BigInteger ledger) {
    return "0".equals(System.getenv("TROUBLE")) ? BigInteger.ZERO : ledger;
  }
}
