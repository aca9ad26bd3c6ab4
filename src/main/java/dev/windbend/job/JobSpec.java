package dev.windbend.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The specification of a job as its user submitted it. It is stored in this form and does not
 * change after the job was accepted.
 *
 * @param uid the id of the job
 * @param kind the class of the job, which selects its objectives
 * @param team the name of the team that the job belongs to
 * @param urgency the priority class of the job
 * @param tasks the number of tasks
 * @param cores the CPU cores of each task
 * @param gpus the GPUs of each task
 * @param memoryGb the memory of each task
 * @param image the name of the image that the tasks run
 * @param imageGb the size of the image
 * @param types the names of the machine types that the tasks may run on; null for any type
 * @param zone the zone that the tasks must run in; null for any zone
 * @param together whether all tasks must run in the same zone
 * @param spread whether at most half of the tasks, rounded up, may run in one zone
 * @param spot whether the tasks may run on spot machines
 * @param estimatedRunTimeSeconds the user's estimate of the run time of a task
 * @param checkpointIntervalSeconds the time between two checkpoints of a task; 0 if it saves none
 * @param checkpointSaveSeconds how long a task takes to save its state when it is stopped
 * @param dueSeconds the deadline, as time since the submission; null if the user set none
 */
public record JobSpec(
    @JsonProperty("uid") String uid,
    @JsonProperty("kind") String kind,
    @JsonProperty("team") String team,
    @JsonProperty("urgency") Urgency urgency,
    @JsonProperty("tasks") int tasks,
    @JsonProperty("cores") double cores,
    @JsonProperty("cards") double gpus,
    @JsonProperty("ram") double memoryGb,
    @JsonProperty("image") String image,
    @JsonProperty("imageGb") double imageGb,
    @JsonProperty("types") List<String> types,
    @JsonProperty("zone") String zone,
    @JsonProperty("together") boolean together,
    @JsonProperty("spread") boolean spread,
    @JsonProperty("spot") boolean spot,
    @JsonProperty("estimateS") double estimatedRunTimeSeconds,
    @JsonProperty("checkpointS") double checkpointIntervalSeconds,
    @JsonProperty("saveS") double checkpointSaveSeconds,
    @JsonProperty("dueS") Double dueSeconds) {}
