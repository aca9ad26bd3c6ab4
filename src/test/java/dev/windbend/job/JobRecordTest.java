package dev.windbend.job;

import static dev.windbend.JsonAssertions.assertDeserializesTo;
import static dev.windbend.JsonAssertions.assertRoundTrip;
import static dev.windbend.JsonAssertions.assertRoundTripOfBytes;
import static dev.windbend.JsonAssertions.assertSerializesTo;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dev.windbend.runtime.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Pins the stored format of job records, because the next version reads records that this version
 * wrote.
 */
class JobRecordTest {
  private static final JobSpec FULL =
      new JobSpec(
          "wk-000412",
          "train",
          "vision",
          Urgency.URGENT,
          16,
          8.5,
          1.25,
          64.0,
          "img-07",
          6.2,
          List.of("g8", "t4"),
          "a",
          true,
          false,
          true,
          240.0,
          30.0,
          4.0,
          900.0);

  private static final String FULL_JSON =
      """
      {"uid":"wk-000412","kind":"train","team":"vision","urgency":"URGENT","tasks":16,
      "cores":8.5,"cards":1.25,"ram":64.0,"image":"img-07","imageGb":6.2,
      "types":["g8","t4"],"zone":"a","together":true,"spread":false,"spot":true,
      "estimateS":240.0,"checkpointS":30.0,"saveS":4.0,"dueS":900.0}""";

  private static final JobSpec MINIMAL =
      new JobSpec(
          "wk-000001",
          "web",
          "guests",
          Urgency.IDLE,
          1,
          1.0,
          0.0,
          0.0,
          "img-01",
          0.0,
          null,
          null,
          false,
          true,
          false,
          5.0,
          0.0,
          0.0,
          null);

  private static final String MINIMAL_JSON =
      """
      {"uid":"wk-000001","kind":"web","team":"guests","urgency":"IDLE","tasks":1,
      "cores":1.0,"cards":0.0,"ram":0.0,"image":"img-01","imageGb":0.0,
      "together":false,"spread":true,"spot":false,
      "estimateS":5.0,"checkpointS":0.0,"saveS":0.0}""";

  static Stream<Arguments> records() {
    return Stream.of(
        arguments("spec", FULL, FULL_JSON),
        arguments("spec without optional fields", MINIMAL, MINIMAL_JSON),
        arguments(
            "live job",
            new JobRecord.Live(FULL, 1_760_000_000_123L, true),
            "{\"spec\":" + FULL_JSON + ",\"at\":1760000000123,\"cancelled\":true}"),
        arguments(
            "live job without optional fields",
            new JobRecord.Live(MINIMAL, 0, false),
            "{\"spec\":" + MINIMAL_JSON + ",\"at\":0,\"cancelled\":false}"),
        arguments("ended job", new JobRecord.Ended("done", 16), "{\"s\":\"done\",\"n\":16}"),
        arguments("ended job without status", new JobRecord.Ended(null, 0), "{\"n\":0}"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("records")
  void matchesStoredFormat(String name, Object object, String json) {
    assertRoundTrip(object, json);
  }

  static Stream<Arguments> recordsWithArrays() {
    return Stream.of(
        arguments(
            "completed tasks: 0, 2 and 15",
            new JobRecord.CompletedTasks(new byte[] {5, (byte) 128}),
            "{\"d\":\"BYA=\"}"),
        arguments(
            "completed tasks: none", new JobRecord.CompletedTasks(new byte[0]), "{\"d\":\"\"}"),
        arguments("completed tasks without bit set", new JobRecord.CompletedTasks(null), "{}"),
        arguments(
            "placement batch",
            new JobRecord.PlacementBatch(
                7, "host-0000", List.of("12", "34"), new long[] {0, 8, 0, 8, 4, 1}),
            """
            {"a":7,"x":"host-0000","m":["12","34"],"p":[0,8,0,8,4,1]}"""),
        arguments(
            "placement batch created from machine names",
            JobRecord.PlacementBatch.of(
                3, List.of("host-000012", "host-000134"), new long[] {5, 1, 1}),
            """
            {"a":3,"x":"host-000","m":["012","134"],"p":[5,1,1]}"""),
        arguments(
            "placement batch without placements",
            JobRecord.PlacementBatch.of(9, List.of(), new long[0]),
            """
            {"a":9,"x":"","m":[],"p":[]}"""),
        arguments(
            "placement batch with only an attempt",
            new JobRecord.PlacementBatch(1, null, null, null),
            "{\"a\":1}"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("recordsWithArrays")
  void matchesStoredFormatOfArrays(String name, Object object, String json) {
    assertRoundTripOfBytes(object, json);
  }

  @Test
  void readsStoredArrays() {
    JobRecord.CompletedTasks completedTasks =
        read("{\"d\":\"BYA=\"}", JobRecord.CompletedTasks.class);
    assertThat(completedTasks.completed()).containsExactly(5, 128);
    JobRecord.PlacementBatch batch =
        read(
            "{\"a\":7,\"x\":\"host-0000\",\"m\":[\"12\",\"34\"],\"p\":[0,8,0,8,4,1]}",
            JobRecord.PlacementBatch.class);
    assertThat(batch.attempt()).isEqualTo(7);
    assertThat(batch.namePrefix()).isEqualTo("host-0000");
    assertThat(batch.nameSuffixes()).containsExactly("12", "34");
    assertThat(batch.runData()).containsExactly(0, 8, 0, 8, 4, 1);
  }

  private static <T> T read(String json, Class<T> type) {
    return Json.read(json.getBytes(StandardCharsets.UTF_8), type);
  }

  /** Records hold priority classes in upper case, whereas submissions hold them in lower case. */
  @ParameterizedTest
  @CsvSource({"PRODUCTION,0", "URGENT,1", "STANDARD,2", "IDLE,3"})
  void storesUrgencyInUpperCase(String stored, int rank) {
    Urgency urgency = read("\"" + stored + "\"", Urgency.class);
    assertThat(urgency.rank()).isEqualTo(rank);
    assertSerializesTo(urgency, "\"" + stored + "\"");
  }

  @Test
  void hasFourUrgenciesAndReadsNoneInLowerCase() {
    assertThat(Urgency.values()).hasSize(4);
    assertThat(read("\"urgent\"", Urgency.class)).isNull();
  }

  /** A missing or null field is read as null, 0 or false. */
  @Test
  void readsRecordsWithMissingFields() {
    JobSpec empty =
        new JobSpec(
            null, null, null, null, 0, 0, 0, 0, null, 0, null, null, false, false, false, 0, 0, 0,
            null);
    assertDeserializesTo("{}", JobSpec.class, empty);
    assertDeserializesTo(
        """
        {"uid":null,"kind":null,"team":null,"urgency":null,"tasks":null,"cores":null,
        "types":null,"zone":null,"together":null,"dueS":null}""",
        JobSpec.class,
        empty);
    assertDeserializesTo("{}", JobRecord.Live.class, new JobRecord.Live(null, 0, false));
    assertDeserializesTo("{}", JobRecord.Ended.class, new JobRecord.Ended(null, 0));
  }
}
