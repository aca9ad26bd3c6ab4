package dev.windbend.job;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses and validates submissions. The error message names the first invalid field. */
final class SubmissionValidator {
  static final int MAX_TASKS = 100_000;
  private static final Pattern UID = Pattern.compile("wk-[0-9]{1,18}");

  /** A submission is not a JSON object, or one of its fields is missing or invalid. */
  static final class MalformedSubmissionException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String uid;

    MalformedSubmissionException(String message, String uid) {
      super(message, null, false, false);
      this.uid = uid;
    }

    /** Returns the submission's valid job id; empty if it has none. */
    Optional<String> uid() {
      return Optional.ofNullable(uid);
    }
  }

  /** One field of a submission is missing or invalid. */
  private static final class InvalidFieldException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidFieldException(String field) {
      super("missing or invalid: " + field, null, false, false);
    }
  }

  private SubmissionValidator() {}

  /** Returns whether the text has the form of a job id. */
  static boolean isUid(String text) {
    return UID.matcher(text).matches();
  }

  /**
   * Parses a submission.
   *
   * @throws MalformedSubmissionException with a message for the user if the submission is malformed
   */
  static JobSpec parse(byte[] body) throws MalformedSubmissionException {
    UserMessages.Submission submission = Json.read(body, UserMessages.Submission.class);
    if (submission == null) {
      throw new MalformedSubmissionException("not a JSON object", null);
    }
    try {
      return toSpec(submission);
    } catch (InvalidFieldException e) {
      throw new MalformedSubmissionException(e.getMessage(), validUid(submission));
    }
  }

  private static String validUid(UserMessages.Submission submission) {
    JsonNode uid = submission.uid();
    return uid != null && uid.isTextual() && isUid(uid.textValue()) ? uid.textValue() : null;
  }

  private static JobSpec toSpec(UserMessages.Submission submission) throws InvalidFieldException {
    String uid = textValue("uid", submission.uid());
    require(isUid(uid), "uid");
    require("batch".equals(textValue("shape", submission.shape())), "shape");
    double tasks = numberValue("drops", submission.tasks());
    require(tasks == Math.rint(tasks) && tasks >= 1 && tasks <= MAX_TASKS, "drops");
    double cores = numberValue("cores", submission.cores());
    require(cores > 0, "cores");
    return new JobSpec(
        uid,
        textValue("fleet", submission.kind()),
        textValue("crew", submission.team()),
        parseUrgency(textValue("urgency", submission.urgency())),
        (int) tasks,
        cores,
        numberValue("cards", submission.gpus()),
        numberValue("ram_gb", submission.memoryGb()),
        textValue("load", submission.image()),
        numberValue("pull_gb", submission.imageGb()),
        textValues("rigs", submission.types()),
        isAbsent(submission.zone()) ? null : textValue("yard", submission.zone()),
        booleanValue("together", submission.together()),
        booleanValue("spread", submission.spread()),
        booleanValue("standby", submission.spot()),
        numberValue("haul_s", submission.estimatedRunTimeSeconds()),
        numberValue("waypoint_s", submission.checkpointIntervalSeconds()),
        numberValue("stow_s", submission.checkpointSaveSeconds()),
        isAbsent(submission.dueSeconds()) ? null : numberValue("due_s", submission.dueSeconds()));
  }

  private static boolean isAbsent(JsonNode node) {
    return node == null || node.isNull() || node.isMissingNode();
  }

  private static void require(boolean valid, String field) throws InvalidFieldException {
    if (!valid) {
      throw new InvalidFieldException(field);
    }
  }

  private static String textValue(String field, JsonNode node) throws InvalidFieldException {
    require(
        node != null && node.isTextual() && !node.textValue().isEmpty() && node.size() == 0, field);
    return node.textValue();
  }

  private static double numberValue(String field, JsonNode node) throws InvalidFieldException {
    require(node != null && node.isNumber(), field);
    double value = node.doubleValue();
    require(Double.isFinite(value) && value >= 0 && value <= 1e9, field);
    return value;
  }

  private static boolean booleanValue(String field, JsonNode node) throws InvalidFieldException {
    require(node != null && node.isBoolean(), field);
    return node.booleanValue();
  }

  private static List<String> textValues(String field, JsonNode node) throws InvalidFieldException {
    if (isAbsent(node)) {
      return null;
    }
    require(node.isArray(), field);
    List<String> values = new ArrayList<>();
    for (JsonNode element : node) {
      values.add(textValue(field, element));
    }
    return List.copyOf(values);
  }

  private static Urgency parseUrgency(String text) throws InvalidFieldException {
    for (Urgency urgency : Urgency.values()) {
      if (urgency.name().toLowerCase(Locale.ROOT).equals(text)) {
        return urgency;
      }
    }
    throw new InvalidFieldException("urgency");
  }
}
