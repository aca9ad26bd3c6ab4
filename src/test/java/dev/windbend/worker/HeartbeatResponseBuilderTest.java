package dev.windbend.worker;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.job.Job;
import dev.windbend.job.Placement;
import dev.windbend.job.TestJobs;
import dev.windbend.job.Urgency;
import dev.windbend.machine.Machine;
import dev.windbend.machine.TestFleet;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.worker.WorkerMessages.Command;
import dev.windbend.worker.WorkerMessages.Heartbeat;
import dev.windbend.worker.WorkerMessages.TaskState;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses to a worker that needs more commands than a line of a response may hold. */
class HeartbeatResponseBuilderTest {
  private static final int MAX_LINE_BYTES = 65_536;
  private static final int TASKS = 1_800;

  /** Tasks whose heartbeat is just within its limit, while their stops exceed one line. */
  private static final int REPORTED_TASKS = 1_000;

  /** Heartbeats that a worker sends in 6 s if its tasks change all the time. */
  private static final int MAX_HEARTBEATS = 12;

  private static final long ATTEMPT = 5L << 32;

  private final Machine machine =
      TestFleet.withMachines(new ManualEventLoop(1_000), List.of("host-000001"))
          .find("host-000001");
  private final Job job = TestJobs.createArray(1, Urgency.STANDARD, TASKS);
  private long sequence;
  private boolean mayAct = true;

  private final HeartbeatResponseBuilder responses =
      new HeartbeatResponseBuilder(
          new TaskReconciler(new NoJobs()),
          new HeartbeatHandler.Leadership() {
            @Override
            public boolean mayAct() {
              return mayAct;
            }

            @Override
            public boolean mayRenewWorkerLeases() {
              return true;
            }
          },
          7);

  /** Every job is cancelled, and none is live. */
  private static final class NoJobs implements TaskReconciler.TaskEvents {
    @Override
    public Job findJob(String uid) {
      return null;
    }

    @Override
    public boolean isCancelled(String uid) {
      return true;
    }

    @Override
    public void jobChanged(Job job) {}

    @Override
    public void taskCompleted(Placement placement, long nowMs) {}

    @Override
    public void taskFailed(Placement placement, Machine machine) {}

    @Override
    public int imageIndex(String name) {
      return 0;
    }
  }

  private Heartbeat nextHeartbeat(List<TaskState> tasks) {
    return new Heartbeat("host-000001", null, "t", "a", true, 1, ++sequence, 7, null, tasks);
  }

  private static List<TaskState> reportedTasks(int count, String state, String cause) {
    List<TaskState> tasks = new ArrayList<>();
    for (int task = 0; task < count; task++) {
      tasks.add(new TaskState("wk-000001/" + task, ATTEMPT, state, cause, null));
    }
    return tasks;
  }

  /**
   * Responds to heartbeats of a worker that no longer lists the tasks of the commands it has
   * received, until a response carries no command; returns all commands in order.
   */
  private List<Command> commandsUntilNoneIsLeft(List<TaskState> reportedTasks) {
    List<TaskState> remaining = new ArrayList<>(reportedTasks);
    List<Command> all = new ArrayList<>();
    for (int heartbeat = 0; heartbeat < MAX_HEARTBEATS; heartbeat++) {
      List<Command> commands = respondTo(nextHeartbeat(List.copyOf(remaining)));
      for (Command command : commands) {
        remaining.removeIf(task -> task.task().equals(command.task()));
        markReported(command);
      }
      all.addAll(commands);
    }
    return all;
  }

  private void markReported(Command command) {
    Placement placement = machine.tasks().get(command.task());
    if (placement != null) {
      placement.recordReported();
    }
  }

  private List<Command> respondTo(Heartbeat heartbeat) {
    ServerResponse response =
        mayAct
            ? responses.leaderResponse(machine, heartbeat)
            : responses.restrictedResponse(machine, heartbeat);
    assertThat(response.body()).hasSizeLessThanOrEqualTo(MAX_LINE_BYTES);
    return Json.read(response.body(), WorkerMessages.HeartbeatResponse.class).commands();
  }

  static Stream<Arguments> reportedTasks() {
    return Stream.of(
        Arguments.of("stops of tasks placed by no one", "running", null, true, "kill"),
        Arguments.of("acknowledgements", "exited", "halted", true, "reap"),
        Arguments.of("stops without confirmed leadership", "running", null, false, "kill"));
  }

  /** Guards against a response with all commands in one line, which the worker must discard. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("reportedTasks")
  void dividesCommandsForReportedTasks(
      String name, String state, String cause, boolean confirmedLeader, String action) {
    mayAct = confirmedLeader;
    List<Command> commands = commandsUntilNoneIsLeft(reportedTasks(REPORTED_TASKS, state, cause));
    assertThat(commands)
        .hasSize(REPORTED_TASKS)
        .allMatch(command -> command.action().equals(action));
    assertThat(commands.stream().map(Command::task).distinct()).hasSize(REPORTED_TASKS);
  }

  /** Guards against starts that are recorded as sent although they did not fit into the line. */
  @ParameterizedTest(name = "{0} tasks reported by the worker")
  @ValueSource(ints = {0, 700})
  void dividesStarts(int tasksToStop) {
    for (int task = 0; task < TASKS; task++) {
      machine.add(TestJobs.placeRecorded(job, task, machine.name()));
    }
    List<TaskState> abandoned = new ArrayList<>();
    for (int task = 0; task < tasksToStop; task++) {
      abandoned.add(new TaskState("wk-000002/" + task, ATTEMPT, "running", null, null));
    }
    List<Command> first = respondTo(nextHeartbeat(abandoned));
    List<Placement> sent =
        machine.tasks().values().stream().filter(task -> task.startSentSequence() == 1).toList();
    assertThat(first.stream().filter(command -> command.action().equals("start")))
        .hasSize(sent.size());
    assertThat(first.stream().limit(tasksToStop)).allMatch(c -> c.action().equals("kill"));
    first.forEach(this::markReported);
    List<Command> others = commandsUntilNoneIsLeft(List.of());
    assertThat(first.size() + others.size()).isEqualTo(tasksToStop + TASKS);
  }
}
