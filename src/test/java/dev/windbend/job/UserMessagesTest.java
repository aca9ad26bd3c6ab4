package dev.windbend.job;

import static dev.windbend.JsonAssertions.assertDeserializesTo;
import static dev.windbend.JsonAssertions.assertRoundTrip;
import static dev.windbend.JsonAssertions.parseTree;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.fasterxml.jackson.databind.node.NullNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Pins the wire format of the messages that users send and receive. */
class UserMessagesTest {
  private static final String SUBMISSION =
      """
      {"uid":"wk-000412","fleet":"train","crew":"vision","shape":"batch","urgency":"urgent",
      "drops":16,"cores":8.5,"cards":1.25,"ram_gb":64.0,"load":"img-07","pull_gb":6.2,
      "rigs":["g8"],"yard":"a","together":true,"spread":false,"standby":true,
      "haul_s":240.0,"waypoint_s":30.0,"stow_s":4.0,"due_s":900.0}""";

  static Stream<Arguments> messages() {
    return Stream.of(
        arguments(
            "submission",
            new UserMessages.Submission(
                parseTree("\"wk-000412\""),
                parseTree("\"train\""),
                parseTree("\"vision\""),
                parseTree("\"batch\""),
                parseTree("\"urgent\""),
                parseTree("16"),
                parseTree("8.5"),
                parseTree("1.25"),
                parseTree("64.0"),
                parseTree("\"img-07\""),
                parseTree("6.2"),
                parseTree("[\"g8\"]"),
                parseTree("\"a\""),
                parseTree("true"),
                parseTree("false"),
                parseTree("true"),
                parseTree("240.0"),
                parseTree("30.0"),
                parseTree("4.0"),
                parseTree("900.0")),
            SUBMISSION),
        arguments(
            "status",
            new UserMessages.Status("wk-000412", "pending", 3, 13, "zone a is unreachable"),
            """
            {"uid":"wk-000412","status":"pending","done":3,"running":13,
            "reason":"zone a is unreachable"}"""),
        arguments(
            "status without optional fields",
            UserMessages.Status.of("wk-000412", "aborted", null, null),
            """
            {"uid":"wk-000412","status":"aborted"}"""),
        arguments(
            "problem",
            new UserMessages.Problem("unknown team"),
            """
            {"error":"unknown team"}"""),
        arguments("problem without error text", new UserMessages.Problem(null), "{}"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("messages")
  void matchesWireFormat(String name, Object object, String json) {
    assertRoundTrip(object, json);
  }

  /** A missing field is read as Java null, and a null field as a JSON null node. */
  @Test
  void readsSubmissionsWithMissingFields() {
    assertDeserializesTo(
        "{\"yard\":null}",
        UserMessages.Submission.class,
        new UserMessages.Submission(
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            null,
            NullNode.getInstance(),
            null,
            null,
            null,
            null,
            null,
            null,
            null));
  }

  @ParameterizedTest
  @CsvSource({"production,0", "urgent,1", "standard,2", "idle,3"})
  void readsUrgencyInLowerCase(String urgency, int rank)
      throws SubmissionValidator.MalformedSubmissionException {
    assertThat(spec(SUBMISSION.replace("\"urgent\"", "\"" + urgency + "\"")).urgency().rank())
        .isEqualTo(rank);
  }

  /** Each field of the submission is mapped to the right field of the specification. */
  @Test
  void mapsSubmissionToJobSpec() throws SubmissionValidator.MalformedSubmissionException {
    assertThat(spec(SUBMISSION))
        .isEqualTo(
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
                List.of("g8"),
                "a",
                true,
                false,
                true,
                240.0,
                30.0,
                4.0,
                900.0));
  }

  @Test
  void namesJobStatuses() {
    assertThat(List.of(JobStatus.PENDING, JobStatus.RUNNING, JobStatus.DONE, JobStatus.CANCELLED))
        .containsExactly("pending", "running", "done", "aborted");
  }

  private static JobSpec spec(String json) throws SubmissionValidator.MalformedSubmissionException {
    return SubmissionValidator.parse(json.getBytes(StandardCharsets.UTF_8));
  }
}
