package dev.windbend.worker;

import static dev.windbend.JsonAssertions.assertDeserializesTo;
import static dev.windbend.JsonAssertions.assertRoundTrip;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the JSON of the messages exchanged with workers. */
class WorkerMessagesTest {
  static Stream<Arguments> messages() {
    return Stream.of(
        arguments(
            "heartbeat",
            new WorkerMessages.Heartbeat(
                "host-000231",
                "10.1.0.232:9000",
                "g8",
                "a",
                true,
                1,
                88,
                41,
                12.5,
                List.of(
                    new WorkerMessages.TaskState("wk-000412/3", 2, "running", null, null),
                    new WorkerMessages.TaskState("wk-000398/0", 5, "exited", "halted", true))),
            """
            {"truck":"host-000231","addr":"10.1.0.232:9000","rig":"g8","yard":"a","standby":true,
            "shift":1,"tally":88,"baton":41,"recall_s":12.5,
            "drops":[{"drop":"wk-000412/3","run":2,"status":"running"},
            {"drop":"wk-000398/0","run":5,"status":"exited","cause":"halted","saved":true}]}"""),
        arguments(
            "heartbeat without optional fields",
            new WorkerMessages.Heartbeat(
                "host-000231", null, "g8", "a", false, 3, 0, 0, null, List.of()),
            """
            {"truck":"host-000231","rig":"g8","yard":"a","standby":false,
            "shift":3,"tally":0,"baton":0,"drops":[]}"""),
        arguments(
            "response to a heartbeat",
            new WorkerMessages.HeartbeatResponse(
                41,
                List.of(
                    WorkerMessages.Command.start("wk-000412/4", 2),
                    WorkerMessages.Command.stop("wk-000377/1", 1, 10),
                    WorkerMessages.Command.acknowledgeExit("wk-000398/0", 3))),
            """
            {"baton":41,"orders":[
            {"order":"start","drop":"wk-000412/4","run":2},
            {"order":"kill","drop":"wk-000377/1","run":1,"wind_down_s":10.0},
            {"order":"reap","drop":"wk-000398/0","run":3}]}"""),
        arguments(
            "response to a heartbeat, no commands",
            new WorkerMessages.HeartbeatResponse(9_007_199_254_740_993L, List.of()),
            """
            {"baton":9007199254740993,"orders":[]}"""),
        arguments(
            "direct command",
            new WorkerMessages.DirectCommands(
                41, 7, List.of(WorkerMessages.Command.stop("wk-000377/1", 1, 0))),
            """
            {"baton":41,"shift":7,
            "orders":[{"order":"kill","drop":"wk-000377/1","run":1,"wind_down_s":0.0}]}"""),
        arguments(
            "redirect with a known leader",
            new WorkerMessages.LeaderRedirect("mast-2"),
            """
            {"dispatcher":"mast-2"}"""),
        arguments(
            "redirect without a known leader", new WorkerMessages.LeaderRedirect(null), "{}"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("messages")
  void writesAndReadsExpectedJson(String name, Object object, String json) {
    assertRoundTrip(object, json);
  }

  @Test
  void readsMessagesWithMissingFields() {
    assertDeserializesTo(
        "{}",
        WorkerMessages.Heartbeat.class,
        new WorkerMessages.Heartbeat(null, null, null, null, false, 0, 0, 0, null, null));
    assertDeserializesTo(
        "{\"drop\":null,\"run\":null,\"status\":null,\"cause\":null,\"saved\":null}",
        WorkerMessages.TaskState.class,
        new WorkerMessages.TaskState(null, 0, null, null, null));
    assertDeserializesTo(
        "{}",
        WorkerMessages.HeartbeatResponse.class,
        new WorkerMessages.HeartbeatResponse(0, null));
    assertDeserializesTo(
        "{}", WorkerMessages.Command.class, new WorkerMessages.Command(null, null, 0, null));
  }
}
