package dev.windbend.job;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SubmissionValidatorTest {
  private static final String GOOD =
      "{'uid':'wk-000412','fleet':'train','crew':'vision','shape':'batch','urgency':'urgent',"
          + "'drops':16,'cores':8.0,'cards':1.0,'ram_gb':64.0,'load':'img-07','pull_gb':6.2,"
          + "'rigs':['g8'],'yard':null,'together':true,'spread':false,'standby':true,"
          + "'haul_s':240.0,'waypoint_s':30.0,'stow_s':4.0,'due_s':900.0,'new_field':{}}";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static byte[] json(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void readsAGoodOneAndIgnoresUnknownFields() throws SubmissionValidator.Malformed {
    JobSpec s = SubmissionValidator.read(json(GOOD));
    assertThat(s.uid()).isEqualTo("wk-000412");
    assertThat(s.tasks()).isEqualTo(16);
    assertThat(s.types()).containsExactly("g8");
    assertThat(s.zone()).isNull();
    assertThat(s.dueS()).isEqualTo(900);
  }

  @Test
  void takesMissingForNull() throws SubmissionValidator.Malformed {
    assertThat(SubmissionValidator.read(json(GOOD.replace("'due_s':900.0,", ""))).dueS()).isNull();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{", "[]", "7", "null", "'x'", "{}", "{} {}"})
  void refusesWhatIsNoObject(String text) {
    assertThatThrownBy(() -> SubmissionValidator.read(json(text)))
        .isInstanceOf(SubmissionValidator.Malformed.class);
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
  void refusesABadField(String from, String to) {
    assertThat(GOOD).contains(from);
    String bad = GOOD.replace(from, to == null ? "" : to);
    assertThatThrownBy(() -> SubmissionValidator.read(json(bad)))
        .isInstanceOf(SubmissionValidator.Malformed.class);
  }

  /** Each field: missing, null and of another type; a job that lacks one must not be accepted. */
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
  void refusesAFieldThatIsMissingOrOfTheWrongType(String field, boolean mayBeNull)
      throws Exception {
    ObjectNode good = (ObjectNode) MAPPER.readTree(json(GOOD));
    assertThat(good.has(field)).isTrue();
    ObjectNode without = good.deepCopy();
    without.remove(field);
    for (ObjectNode lacks : List.of(without, good.deepCopy().putNull(field))) {
      if (mayBeNull) {
        assertThat(SubmissionValidator.read(MAPPER.writeValueAsBytes(lacks)).uid())
            .isEqualTo("wk-000412");
      } else {
        refuses(lacks, field);
      }
    }
    for (JsonNode wrong :
        List.of(
            MAPPER.createObjectNode(),
            MAPPER.createArrayNode().add(MAPPER.createArrayNode()),
            good.get(field).isTextual() || field.equals("yard")
                ? IntNode.valueOf(7)
                : TextNode.valueOf("x"),
            field.equals("yard") ? IntNode.valueOf(1) : DoubleNode.valueOf(-1.5))) {
      ObjectNode bad = good.deepCopy();
      bad.set(field, wrong);
      refuses(bad, field);
    }
  }

  private static void refuses(ObjectNode job, String field) throws Exception {
    byte[] body = MAPPER.writeValueAsBytes(job);
    assertThatThrownBy(() -> SubmissionValidator.read(body))
        .as(job.toString())
        .isInstanceOf(SubmissionValidator.Malformed.class)
        .hasMessageContaining(field);
  }
}
