package dev.windbend.job;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** Reads a submission; says exactly what is wrong with a malformed one. */
final class SubmissionValidator {
  static final int MOST_TASKS = 100_000;
  private static final int LONGEST_NAME = 128;
  private static final int MOST_TYPES = 16;
  private static final Pattern UID = Pattern.compile("wk-[0-9]{1,18}");

  static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed(String message) {
      super(message, null, false, false);
    }
  }

  private SubmissionValidator() {}

  static boolean isUid(String text) {
    return UID.matcher(text).matches();
  }

  static JobSpec read(byte[] body) throws Malformed {
    UserMessages.Submission s = Json.read(body, UserMessages.Submission.class);
    if (s == null) {
      throw new Malformed("not a JSON object");
    }
    String uid = text("uid", s.uid());
    check(isUid(uid), "uid");
    check("batch".equals(text("shape", s.shape())), "shape");
    JsonNode n = s.tasks();
    check(n != null && n.isIntegralNumber() && n.canConvertToInt(), "drops");
    check(n.intValue() >= 1 && n.intValue() <= MOST_TASKS, "drops");
    double cores = amount("cores", s.cores());
    check(cores > 0, "cores");
    return new JobSpec(
        uid,
        text("fleet", s.kind()),
        text("crew", s.team()),
        urgency(text("urgency", s.urgency())),
        n.intValue(),
        cores,
        amount("cards", s.gpus()),
        amount("ram_gb", s.memoryGb()),
        text("load", s.image()),
        amount("pull_gb", s.imageGb()),
        names("rigs", s.types()),
        absent(s.zone()) ? null : text("yard", s.zone()),
        flag("together", s.together()),
        flag("spread", s.spread()),
        flag("standby", s.spot()),
        amount("haul_s", s.estimateS()),
        amount("waypoint_s", s.checkpointS()),
        amount("stow_s", s.saveS()),
        absent(s.dueS()) ? null : amount("due_s", s.dueS()));
  }

  private static boolean absent(JsonNode n) {
    return n == null || n.isNull() || n.isMissingNode();
  }

  private static void check(boolean holds, String field) throws Malformed {
    if (!holds) {
      throw new Malformed("missing or invalid: " + field);
    }
  }

  private static String text(String field, JsonNode n) throws Malformed {
    check(n != null && n.isTextual() && !n.textValue().isEmpty() && n.size() == 0, field);
    check(n.textValue().length() <= LONGEST_NAME, field);
    return n.textValue();
  }

  private static double amount(String field, JsonNode n) throws Malformed {
    check(n != null && n.isNumber(), field);
    double v = n.doubleValue();
    check(Double.isFinite(v) && v >= 0 && v <= 1e9, field);
    return v;
  }

  private static boolean flag(String field, JsonNode n) throws Malformed {
    check(n != null && n.isBoolean(), field);
    return n.booleanValue();
  }

  private static List<String> names(String field, JsonNode n) throws Malformed {
    if (absent(n)) {
      return null;
    }
    check(n.isArray() && n.size() <= MOST_TYPES, field);
    List<String> all = new ArrayList<>();
    for (JsonNode e : n) {
      all.add(text(field, e));
    }
    return List.copyOf(all);
  }

  private static Urgency urgency(String text) throws Malformed {
    for (Urgency u : Urgency.values()) {
      if (u.name().toLowerCase(Locale.ROOT).equals(text)) {
        return u;
      }
    }
    throw new Malformed("missing or invalid: urgency");
  }
}
