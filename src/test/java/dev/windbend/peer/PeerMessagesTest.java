package dev.windbend.peer;

import static dev.windbend.JsonAssertions.assertDeserializesTo;
import static dev.windbend.JsonAssertions.assertRoundTrip;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dev.windbend.job.Cancellations.Cancelled;
import dev.windbend.machine.MachineMessages.TaskRequirements;
import dev.windbend.runtime.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the JSON of messages between controllers, which may run different versions. */
class PeerMessagesTest {
  static Stream<Arguments> messages() {
    return Stream.of(
        arguments(
            "status request for the state service",
            new PeerMessages.StoreStatusRequest(41),
            "{\"known_up_to\":41}"),
        arguments(
            "status of the state service",
            new PeerMessages.StoreStatus(250, List.of(new Cancelled("wk-000412", 42))),
            """
            {"answered_ms_ago":250,"cancelled":[{"job":"wk-000412","revision":42}]}"""),
        arguments(
            "status of the state service, cancellations unknown",
            new PeerMessages.StoreStatus(250, null),
            """
            {"answered_ms_ago":250}"""),
        arguments(
            "cancellations",
            new PeerMessages.ConfirmedCancellations(
                List.of(new Cancelled("wk-000412", 42), new Cancelled("wk-000413", 43))),
            """
            {"cancelled":[{"job":"wk-000412","revision":42},{"job":"wk-000413","revision":43}]}"""),
        arguments(
            "request for machines",
            new MachineTransferMessages.RoutedRequest(
                1,
                2,
                new MachineTransferMessages.Request(
                    5,
                    0.25,
                    new MachineTransferMessages.OverdueTasks(
                        new TaskRequirements(
                            8.5, 1.25, 64, List.of("g8", "t4"), List.of("a"), true),
                        3))),
            """
            {"from":1,"to":2,"request":{"count":5,"has":0.25,"overdue":{
            "task":{"cores":8.5,"cards":1.25,"ram":64.0,"types":["g8","t4"],"zones":["a"],
            "spot":true},"count":3}}}"""),
        arguments(
            "request for machines, overdue task without type or zone constraints",
            new MachineTransferMessages.RoutedRequest(
                0,
                1,
                new MachineTransferMessages.Request(
                    0,
                    1,
                    new MachineTransferMessages.OverdueTasks(
                        new TaskRequirements(1, 0, 1, null, null, false), 1))),
            """
            {"from":0,"to":1,"request":{"count":0,"has":1.0,"overdue":{
            "task":{"cores":1.0,"cards":0.0,"ram":1.0,"spot":false},"count":1}}}"""),
        arguments(
            "request for machines, no overdue tasks",
            new MachineTransferMessages.RoutedRequest(
                0, 1, new MachineTransferMessages.Request(5, 0.5, null)),
            """
            {"from":0,"to":1,"request":{"count":5,"has":0.5}}"""),
        arguments(
            "reply to a request for machines",
            new MachineTransferMessages.Reply(4, 1),
            """
            {"count":4,"overdue":1}"""),
        arguments(
            "reply to a request for machines, none transferred",
            MachineTransferMessages.Reply.NONE,
            """
            {"count":0,"overdue":0}"""));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("messages")
  void writesAndReadsExpectedJson(String name, Object object, String json) {
    assertRoundTrip(object, json);
  }

  @Test
  void readsMessagesWithMissingFields() {
    assertDeserializesTo(
        "{}", PeerMessages.StoreStatusRequest.class, new PeerMessages.StoreStatusRequest(0));
    assertDeserializesTo(
        "{\"answered_ms_ago\":0,\"cancelled\":null}",
        PeerMessages.StoreStatus.class,
        new PeerMessages.StoreStatus(0, null));
    assertThat(
            Json.read(
                "{\"cancelled\":null}".getBytes(StandardCharsets.UTF_8),
                PeerMessages.StoreStatus.class))
        .isNull();
    assertDeserializesTo(
        "{}",
        PeerMessages.ConfirmedCancellations.class,
        new PeerMessages.ConfirmedCancellations(null));
    assertDeserializesTo("{}", Cancelled.class, new Cancelled(null, 0));
    assertDeserializesTo(
        "{}",
        MachineTransferMessages.RoutedRequest.class,
        new MachineTransferMessages.RoutedRequest(0, 0, null));
    assertDeserializesTo(
        "{\"overdue\":null}",
        MachineTransferMessages.Request.class,
        new MachineTransferMessages.Request(0, 0, null));
    assertDeserializesTo(
        "{}", MachineTransferMessages.Reply.class, new MachineTransferMessages.Reply(0, 0));
  }
}
