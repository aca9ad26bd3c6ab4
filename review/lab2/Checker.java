import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Follows which task is on which machine, and applies the rules of the protocol to it. */
final class Checker {
  private final Site site;
  private final Record record;

  /** By task: the machine that it is on since it had its image. */
  private final Map<String, String> on = new HashMap<>();

  private final Map<String, Double> usedByTeam = new HashMap<>();
  /** When the last task of a job left its machine, by job. */
  private final Map<String, Double> lastOffS = new HashMap<>();

  private final Map<String, Double> cancelledAt = new HashMap<>();
  private final Set<String> results = new HashSet<>();

  /** Tasks started, by job. */
  private final Map<String, Integer> started = new HashMap<>();

  /** Broken rules with the first sign of each. */
  final Map<String, String> broken = new LinkedHashMap<>();

  Checker(Site site, Record record) {
    this.site = site;
    this.record = record;
  }

  synchronized void breaks(String rule, String sign) {
    record.line("BROKEN %s: %s", rule, sign);
    broken.putIfAbsent(rule, sign);
  }

  synchronized void begins(String task, String machine) {
    String uid = task.substring(0, task.lastIndexOf('/'));
    String other = on.get(task);
    if (other != null && !other.equals(machine)) {
      breaks("ran_twice", task + " starts on " + machine + " while it is on " + other);
    }
    on.put(task, machine);
    noteSmall(uid, task + " is on " + machine);
    started.merge(uid, 1, Integer::sum);
    Map<String, Object> job = site.job(uid);
    String crew = (String) job.get("crew");
    double used = usedByTeam.merge(crew, Json.number(job.get("cores")), Double::sum);
    for (Site.Team team : site.teams) {
      if (team.name().equals(crew) && used > team.cpusMax() + 1e-6) {
        breaks("quota", crew + " uses " + used + " of " + team.cpusMax());
      }
    }
    Double at = cancelledAt.get(uid);
    if (at != null && record.seconds() > at + site.cancelS) {
      breaks("ran_cancelled", task + " starts " + (record.seconds() - at) + " s after");
    }
  }

  synchronized void ends(String task, String machine) {
    if (!machine.equals(on.get(task))) {
      return;
    }
    on.remove(task);
    String uid = task.substring(0, task.lastIndexOf('/'));
    lastOffS.put(uid, record.seconds());
    noteSmall(uid, task + " is off " + machine);
    Map<String, Object> job = site.job(uid);
    usedByTeam.merge((String) job.get("crew"), -Json.number(job.get("cores")), Double::sum);
    Double at = cancelledAt.get(uid);
    if (at != null && record.seconds() > at + site.cancelS) {
      breaks("ran_cancelled", task + " ends " + (record.seconds() - at) + " s after");
    }
  }

  /** The record would become too long with each task of a huge array. */
  private void noteSmall(String uid, String text) {
    if (((Number) site.job(uid).get("drops")).intValue() <= 100) {
      record.line("%s", text);
    }
  }

  /** How many tasks of the job are on machines. */
  synchronized int onMachines(String uid) {
    return (int) on.keySet().stream().filter(task -> task.startsWith(uid + "/")).count();
  }

  /** When the job's last task left its machine; negative if one is on a machine or none was. */
  synchronized double idleSinceS(String uid) {
    return onMachines(uid) > 0 ? -1 : lastOffS.getOrDefault(uid, -1.0);
  }

  synchronized void completed(String task) {
    results.add(task);
  }

  synchronized boolean hasResult(String task) {
    return results.contains(task);
  }

  synchronized int completedOf(String uid) {
    return (int) results.stream().filter(task -> task.startsWith(uid + "/")).count();
  }

  synchronized int startedOf(String uid) {
    return started.getOrDefault(uid, 0);
  }

  synchronized int startedInAll() {
    return started.values().stream().mapToInt(Integer::intValue).sum();
  }

  synchronized void cancelled(String uid) {
    cancelledAt.putIfAbsent(uid, record.seconds());
  }
}
