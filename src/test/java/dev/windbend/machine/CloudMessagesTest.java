package dev.windbend.machine;

import static dev.windbend.JsonAssertions.assertDeserializesTo;
import static dev.windbend.JsonAssertions.assertRoundTrip;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards the JSON form of the cloud API's messages and of the stored records of machines. */
class CloudMessagesTest {
  static Stream<Arguments> messages() {
    return Stream.of(
        arguments(
            "machine types",
            new CloudMessages.Types(
                List.of(
                    new CloudMessages.Type(
                        "g8", 96, 8, 768, 200, 1.5, 12.0, 4.5, 45, List.of("a", "b")))),
            """
            {"rigs":[{"label":"g8","cores":96.0,"cards":8.0,"ram_gb":768.0,"cache_gb":200.0,
            "pull_gb_per_s":1.5,"rate":12.0,"low_price":4.5,"ready_s":45.0,"yards":["a","b"]}]}"""),
        arguments(
            "scale-out request",
            new CloudMessages.CreateInstances("r-17", "g8", "a", true, 12),
            """
            {"hire":"r-17","rig":"g8","yard":"a","standby":true,"how_many":12}"""),
        arguments(
            "instances created or terminated",
            new CloudMessages.InstanceNames(List.of("host-000231", "host-000232")),
            """
            {"trucks":["host-000231","host-000232"]}"""),
        arguments(
            "page of instances",
            new CloudMessages.InstancePage(
                List.of(
                    new CloudMessages.Instance("host-000231", "g8", "a", true, "running", 61.5)),
                true),
            """
            {"trucks":[{"uid":"host-000231","rig":"g8","yard":"a","standby":true,
            "status":"running","age_s":61.5}],"has_next":true}"""),
        arguments(
            "empty page of instances",
            new CloudMessages.InstancePage(List.of(), false),
            """
            {"trucks":[],"has_next":false}"""),
        arguments(
            "stored: answered scale-out request",
            new ScaleOutRecord("g8", "a", true, 12, List.of("host-000231"), null),
            """
            {"type":"g8","zone":"a","spot":true,"count":12,"machines":["host-000231"]}"""),
        arguments(
            "stored: unanswered scale-out request",
            new ScaleOutRecord("g8", "a", false, 12, null, null),
            """
            {"type":"g8","zone":"a","spot":false,"count":12}"""),
        arguments(
            "stored: transfer, as first written",
            new ScaleOutRecord("g8", "b", true, 2, List.of("host-1", "host-2"), 0L),
            """
            {"type":"g8","zone":"b","spot":true,"count":2,"machines":["host-1","host-2"],
            "fence":0}"""),
        arguments(
            "stored: transfer, rewritten",
            new ScaleOutRecord("g8", "b", true, 1, List.of("host-2"), 9_007_199_254_740_993L),
            """
            {"type":"g8","zone":"b","spot":true,"count":1,"machines":["host-2"],
            "fence":9007199254740993}"""));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("messages")
  void matchesPinnedJson(String name, Object object, String json) {
    assertRoundTrip(object, json);
  }

  @Test
  void readsMessagesWithMissingFields() {
    assertDeserializesTo("{}", CloudMessages.Types.class, new CloudMessages.Types(null));
    assertDeserializesTo(
        "{}", CloudMessages.Type.class, new CloudMessages.Type(null, 0, 0, 0, 0, 0, 0, 0, 0, null));
    assertDeserializesTo(
        "{}", CloudMessages.InstanceNames.class, new CloudMessages.InstanceNames(null));
    assertDeserializesTo(
        "{}", CloudMessages.InstancePage.class, new CloudMessages.InstancePage(null, false));
    assertDeserializesTo(
        "{}",
        CloudMessages.Instance.class,
        new CloudMessages.Instance(null, null, null, false, null, 0));
    assertDeserializesTo(
        "{\"machines\":null,\"fence\":null}",
        ScaleOutRecord.class,
        new ScaleOutRecord(null, null, false, 0, null, null));
    // Unknown fields of an instance, such as its address, are ignored.
    assertDeserializesTo(
        """
        {"uid":"host-000231","addr":"10.1.0.232:9000","rig":"g8","yard":"a","standby":true,
        "status":"booting","age_s":61}""",
        CloudMessages.Instance.class,
        new CloudMessages.Instance("host-000231", "g8", "a", true, "booting", 61));
  }
}
