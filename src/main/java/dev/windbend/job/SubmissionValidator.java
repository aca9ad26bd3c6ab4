package dev.windbend.job;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** Parses and validates submissions. The error message names the first invalid field. */
final class SubmissionValidator {
  static final int MAX_TASKS = 100_000;
  private static final int MAX_TEXT_LENGTH = 128;
  private static final int MAX_TYPES = 16;
  private static final Pattern UID = Pattern.compile("wk-[0-9]{1,18}");

  /** A submission is not a JSON object, or one of its fields is missing or invalid. */
  static final class MalformedSubmissionException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedSubmissionException(String message) {
      super(message, null, false, false);
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
      throw new MalformedSubmissionException("not a JSON object");
    }
    String uid = textValue("uid", submission.uid());
    require(isUid(uid), "uid");
    require("batch".equals(textValue("shape", submission.shape())), "shape");
    JsonNode tasks = submission.tasks();
    require(tasks != null && tasks.isIntegralNumber() && tasks.canConvertToInt(), "drops");
    require(tasks.intValue() >= 1 && tasks.intValue() <= MAX_TASKS, "drops");
    double cores = numberValue("cores", submission.cores());
    require(cores > 0, "cores");
    return new JobSpec(
        uid,
        textValue("fleet", submission.kind()),
        textValue("crew", submission.team()),
        parseUrgency(textValue("urgency", submission.urgency())),
        tasks.intValue(),
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

  private static void require(boolean valid, String field) throws MalformedSubmissionException {
    if (!valid) {
      throw new MalformedSubmissionException("missing or invalid: " + field);
    }
  }

  private static String textValue(String field, JsonNode node) throws MalformedSubmissionException {
    require(
        node != null && node.isTextual() && !node.textValue().isEmpty() && node.size() == 0, field);
    require(node.textValue().length() <= MAX_TEXT_LENGTH, field);
    return node.textValue();
  }

  private static double numberValue(String field, JsonNode node)
      throws MalformedSubmissionException {
    require(node != null && node.isNumber(), field);
    double value = node.doubleValue();
    require(Double.isFinite(value) && value >= 0 && value <= 1e9, field);
    return value;
  }

  private static boolean booleanValue(String field, JsonNode node)
      throws MalformedSubmissionException {
    require(node != null && node.isBoolean(), field);
    return node.booleanValue();
  }

  private static List<String> textValues(String field, JsonNode node)
      throws MalformedSubmissionException {
    if (isAbsent(node)) {
      return null;
    }
    require(node.isArray() && node.size() <= MAX_TYPES, field);
    List<String> values = new ArrayList<>();
    for (JsonNode element : node) {
      values.add(textValue(field, element));
    }
    return List.copyOf(values);
  }

  private static Urgency parseUrgency(String text) throws MalformedSubmissionException {
    for (Urgency urgency : Urgency.values()) {
      if (urgency.name().toLowerCase(Locale.ROOT).equals(text)) {
        return urgency;
      }
    }
    throw new MalformedSubmissionException("missing or invalid: urgency");
  }
}
