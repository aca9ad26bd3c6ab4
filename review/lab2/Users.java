import java.util.Map;

/** Requests of users; each goes to the controllers in turn until one answers it. */
final class Users {
  private final Record record;
  private final Site site;
  private final String[] controllers;
  private int next;

  Users(Record record, Site site, String[] controllers) {
    this.record = record;
    this.site = site;
    this.controllers = controllers;
  }

  /** A job of an array of tasks; fields may be changed before it is submitted. */
  static Map<String, Object> job(String uid, String fleet, String crew, int drops, double cores) {
    return Json.of(
        "uid", uid, "fleet", fleet, "crew", crew, "shape", "batch", "urgency", "standard",
        "drops", drops, "cores", cores, "cards", 0.0, "ram_gb", 0.1, "load", "img-01",
        "pull_gb", 0.25, "rigs", null, "yard", null, "together", false, "spread", false,
        "standby", true, "haul_s", 3.0, "waypoint_s", 0.0, "stow_s", 0.0, "due_s", null);
  }

  private synchronized String controller() {
    return controllers[next++ % controllers.length];
  }

  /** Submits a job as a user does, for 60 s; returns the last status. */
  int submit(Map<String, Object> job, double runS) throws InterruptedException {
    site.submitted(job, runS);
    return repeat("/v1/jobs", job, "submit " + job.get("uid"));
  }

  /** Cancels a job as a user does, for 60 s; returns the last status. */
  int cancel(String uid) throws InterruptedException {
    return repeat("/v1/jobs/" + uid + "/cancel", null, "cancel " + uid);
  }

  private int repeat(String path, Object body, String what) throws InterruptedException {
    double untilS = record.seconds() + 60;
    while (true) {
      String controller = controller();
      Http.Answer answer = Http.call(controller, "POST", path, body, 5);
      record.line("%s at %s: %d %s", what, controller, answer.status(), answer.body());
      int status = answer.status();
      boolean last = status == 200 || status == 201 || status == 400 || status == 422;
      if (last || record.seconds() > untilS) {
        return status;
      }
      Thread.sleep((long) (1000 * Math.max(1, Math.min(30, answer.retryAfterS()))));
    }
  }

  /** Polls a job once; the user waits 2 s for the answer. */
  Http.Answer poll(String uid) {
    String controller = controller();
    Http.Answer answer = Http.call(controller, "GET", "/v1/jobs/" + uid, null, 2);
    record.line("poll %s at %s: %d %s", uid, controller, answer.status(), answer.body());
    return answer;
  }
}
