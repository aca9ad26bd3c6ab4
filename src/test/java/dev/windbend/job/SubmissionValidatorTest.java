package dev.windbend.job;

import static java.util.stream.Collectors.joining;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.api.Assertions.assertTimeout;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import dev.windbend.runtime.MessageLimits;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class SubmissionValidatorTest {
  private static final String VALID =
      "{'uid':'wk-000412','fleet':'train','crew':'vision','shape':'batch','urgency':'urgent',"
          + "'drops':16,'cores':8.0,'cards':1.0,'ram_gb':64.0,'load':'img-07','pull_gb':6.2,"
          + "'rigs':['g8'],'yard':null,'together':true,'spread':false,'standby':true,"
          + "'haul_s':240.0,'waypoint_s':30.0,'stow_s':4.0,'due_s':900.0,'new_field':{}}";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static byte[] json(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void readsValidSubmissionAndIgnoresUnknownFields()
      throws SubmissionValidator.MalformedSubmissionException {
    JobSpec spec = SubmissionValidator.parse(json(VALID));
    assertThat(spec.uid()).isEqualTo("wk-000412");
    assertThat(spec.tasks()).isEqualTo(16);
    assertThat(spec.types()).containsExactly("g8");
    assertThat(spec.zone()).isNull();
    assertThat(spec.dueSeconds()).isEqualTo(900);
  }

  @Test
  void readsMissingOptionalFieldAsNull() throws SubmissionValidator.MalformedSubmissionException {
    assertThat(SubmissionValidator.parse(json(VALID.replace("'due_s':900.0,", ""))).dueSeconds())
        .isNull();
  }

  static Stream<Arguments> spellings() {
    String longNumber = "7".repeat(3_000);
    return Stream.of(
        arguments("count with a fraction", "'drops':16", "'drops':16.0"),
        arguments("count with an exponent", "'drops':16", "'drops':1.6e1"),
        arguments("count with a negative exponent", "'drops':16", "'drops':1600E-2"),
        arguments("count with many zeros", "'drops':16", "'drops':16." + "0".repeat(1_500)),
        arguments("amount without a fraction", "'cores':8.0", "'cores':8"),
        arguments("amount with an exponent", "'cores':8.0", "'cores':0.08E+2"),
        arguments("escaped value", "'uid':'wk-000412'", "'uid':'\\u0077k-000412'"),
        arguments("escaped name", "'uid':'wk-000412'", "'\\u0075id':'wk-000412'"),
        arguments("null field left out", "'yard':null,", ""),
        arguments("white space", "'drops':16", "\n\t'drops' : \r\n16 "),
        arguments("another order", "{'uid':'wk-000412',", "{'load':'img-07','uid':'wk-000412',"),
        arguments("long unknown integer", "'new_field':{}", "'new_field':" + longNumber),
        arguments("long unknown fraction", "'new_field':{}", "'new_field':0." + longNumber),
        arguments("huge unknown exponent", "'new_field':{}", "'new_field':1e999999999"),
        arguments("long unknown name", "'new_field':{}", "'" + "n".repeat(60_000) + "':{}"),
        arguments(
            "long unknown text", "'new_field':{}", "'new_field':'" + "t".repeat(60_000) + "'"),
        arguments(
            "deep unknown arrays", "'new_field':{}", "'new_field':" + nested("[", "]", 30_000)),
        arguments("deep unknown objects", "'new_field':{}", "'o':" + nested("{'o':", "}", 9_000)));
  }

  private static String nested(String open, String close, int depth) {
    return open.repeat(depth) + (open.endsWith(":") ? "1" : "") + close.repeat(depth);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("spellings")
  void readsTheSameSubmissionInAnySpelling(String name, String from, String to) throws Exception {
    assertThat(VALID).contains(from);
    byte[] body = json(VALID.replace(from, to));
    assertThat(body.length).isLessThanOrEqualTo(MessageLimits.MAX_REQUEST_BYTES);
    assertThat(SubmissionValidator.parse(body)).isEqualTo(SubmissionValidator.parse(json(VALID)));
  }

  @Test
  void readsLongNames() throws Exception {
    String image = "registry/" + "i".repeat(1_000);
    String types = IntStream.range(0, 40).mapToObj(i -> "'g" + i + "'").collect(joining(","));
    JobSpec spec =
        SubmissionValidator.parse(
            json(VALID.replace("img-07", image).replace("['g8']", "[" + types + "]")));
    assertThat(spec.image()).isEqualTo(image);
    assertThat(spec.types()).hasSize(40);
  }

  @ParameterizedTest(name = "{0}")
  @ValueSource(strings = {"[", "{\"a\":", "9", "{\"drops\":[", "\"a\":1,", "-", "\\u0000"})
  void boundsTheWorkForAnyBodyOfTheMaximumSize(String repeated) {
    String body =
        "{\"drops\":" + repeated.repeat(MessageLimits.MAX_REQUEST_BYTES / repeated.length());
    assertTimeout(
        Duration.ofSeconds(2),
        () ->
            assertThatThrownBy(() -> SubmissionValidator.parse(json(body)))
                .isInstanceOf(SubmissionValidator.MalformedSubmissionException.class));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{", "[]", "7", "null", "'x'", "{}", "{} {}"})
  void rejectsBodyThatIsNotASubmission(String text) {
    assertThatThrownBy(() -> SubmissionValidator.parse(json(text)))
        .isInstanceOf(SubmissionValidator.MalformedSubmissionException.class);
  }

  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "'uid':'wk-000412'|'uid':'job-1'",
        "'uid':'wk-000412'|'uid':7",
        "'drops':16|'drops':0",
        "'drops':16|'drops':100001",
        "'drops':16|'drops':1.5",
        "'drops':16|'drops':'16'",
        "'cores':8.0|'cores':0",
        "'cores':8.0|'cores':-1",
        "'cores':8.0|'cores':NaN",
        "'cores':8.0|'cores':1e400",
        "'cores':8.0|'cores':null",
        "'ram_gb':64.0|'ram_gb':true",
        "'shape':'batch'|'shape':'heap'",
        "'urgency':'urgent'|'urgency':'soon'",
        "'urgency':'urgent'|'urgency':'URGENT'",
        "'rigs':['g8']|'rigs':'g8'",
        "'rigs':['g8']|'rigs':[8]",
        "'together':true|'together':1",
        "'due_s':900.0|'due_s':-1",
        "'crew':'vision',|",
      })
  void rejectsInvalidField(String from, String to) {
    assertThat(VALID).contains(from);
    String invalid = VALID.replace(from, to == null ? "" : to);
    assertThatThrownBy(() -> SubmissionValidator.parse(json(invalid)))
        .isInstanceOf(SubmissionValidator.MalformedSubmissionException.class);
  }

  /**
   * Tests each field when it is missing, null, or of another type. Only optional fields may be
   * missing or null; a job that lacks another field must not be accepted.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "uid, false",
    "fleet, false",
    "crew, false",
    "shape, false",
    "urgency, false",
    "drops, false",
    "cores, false",
    "cards, false",
    "ram_gb, false",
    "load, false",
    "pull_gb, false",
    "rigs, true",
    "yard, true",
    "together, false",
    "spread, false",
    "standby, false",
    "haul_s, false",
    "waypoint_s, false",
    "stow_s, false",
    "due_s, true"
  })
  void rejectsFieldThatIsMissingOrOfWrongType(String field, boolean optional) throws Exception {
    ObjectNode valid = (ObjectNode) MAPPER.readTree(json(VALID));
    assertThat(valid.has(field)).isTrue();
    ObjectNode without = valid.deepCopy();
    without.remove(field);
    for (ObjectNode incomplete : List.of(without, valid.deepCopy().putNull(field))) {
      if (optional) {
        assertThat(SubmissionValidator.parse(MAPPER.writeValueAsBytes(incomplete)).uid())
            .isEqualTo("wk-000412");
      } else {
        assertRejected(incomplete, field);
      }
    }
    for (JsonNode wrongValue :
        List.of(
            MAPPER.createObjectNode(),
            MAPPER.createArrayNode().add(MAPPER.createArrayNode()),
            valid.get(field).isTextual() || field.equals("yard")
                ? IntNode.valueOf(7)
                : TextNode.valueOf("x"),
            field.equals("yard") ? IntNode.valueOf(1) : DoubleNode.valueOf(-1.5))) {
      ObjectNode invalid = valid.deepCopy();
      invalid.set(field, wrongValue);
      assertRejected(invalid, field);
    }
  }

  private static void assertRejected(ObjectNode job, String field) throws Exception {
    byte[] body = MAPPER.writeValueAsBytes(job);
    assertThatThrownBy(() -> SubmissionValidator.parse(body))
        .as(job.toString())
        .isInstanceOf(SubmissionValidator.MalformedSubmissionException.class)
        .hasMessageContaining(field);
  }
}
