package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/** The users' wire format. */
final class UserMessages {
  private UserMessages() {}

  /** Fields stay trees here: their types are checked one by one. */
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
   * How a job stands.
   *
   * @param reason why it waits, where that is more than its turn; null: nothing to say
   */
  record Status(
      @JsonProperty("uid") String uid,
      @JsonProperty("status") String status,
      @JsonProperty("done") Integer done,
      @JsonProperty("running") Integer running,
      @JsonProperty("reason") String reason) {
    static Status of(String uid, String status, Integer done, Integer running) {
      return new Status(uid, status, done, running, null);
    }
  }

  record Problem(@JsonProperty("error") String error) {}
}
