package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/** Messages that users send and receive. */
final class UserMessages {
  private UserMessages() {}

  /**
   * A submitted job. The fields are JSON trees because {@link SubmissionValidator} checks the type
   * of each field.
   */
  record Submission(
      @JsonProperty("uid") JsonNode uid,
      @JsonProperty("fleet") JsonNode kind,
      @JsonProperty("crew") JsonNode team,
      @JsonProperty("shape") JsonNode shape,
      @JsonProperty("urgency") JsonNode urgency,
      @JsonProperty("drops") JsonNode tasks,
      @JsonProperty("cores") JsonNode cores,
      @JsonProperty("cards") JsonNode gpus,
      @JsonProperty("ram_gb") JsonNode memoryGb,
      @JsonProperty("load") JsonNode image,
      @JsonProperty("pull_gb") JsonNode imageGb,
      @JsonProperty("rigs") JsonNode types,
      @JsonProperty("yard") JsonNode zone,
      @JsonProperty("together") JsonNode together,
      @JsonProperty("spread") JsonNode spread,
      @JsonProperty("standby") JsonNode spot,
      @JsonProperty("haul_s") JsonNode estimatedRunTimeSeconds,
      @JsonProperty("waypoint_s") JsonNode checkpointIntervalSeconds,
      @JsonProperty("stow_s") JsonNode checkpointSaveSeconds,
      @JsonProperty("due_s") JsonNode dueSeconds) {}

  /**
   * The status of a job.
   *
   * @param status one of the values in {@link JobStatus}
   * @param done the number of completed tasks; null if not reported
   * @param running the number of running tasks; null if not reported
   * @param reason why the job is pending, if it waits for more than its turn; null if there is no
   *     reason to report
   */
  record Status(
      @JsonProperty("uid") String uid,
      @JsonProperty("status") String status,
      @JsonProperty("done") Integer done,
      @JsonProperty("running") Integer running,
      @JsonProperty("reason") String reason) {
    /** Returns a status without a reason. */
    static Status of(String uid, String status, Integer done, Integer running) {
      return new Status(uid, status, done, running, null);
    }
  }

  /** The body of a response to a rejected request. */
  record Problem(@JsonProperty("error") String error) {}
}
